package routerfleet.settings;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import routerfleet.log.Loggers;

/**
 * Reads a process's settings file again: when told that it has changed, and regularly, since it may change without a word.
 * A file that can't be used changes nothing, and is told of once, as long as it says the same.
 */
public final class SettingsWatch {
    private static final System.Logger LOG = Loggers.get("routerfleet.settings");
    private static final long PERIOD_MS = 2_000;

    private final String file;
    private final Consumer<LocalSettings> taken;
    private LocalSettings current;
    private String readText;
    private String fault = "";

    /**
     * @param readText the file's text so far
     * @param current what that text says
     * @param taken gets the settings whenever they have changed
     */
    public SettingsWatch(String file, String readText, LocalSettings current, Consumer<LocalSettings> taken) {
        this.file = file;
        this.readText = readText;
        this.current = current;
        this.taken = taken;
    }

    /** Looks at the file regularly from now on, until the process ends. */
    public void start() {
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "settings");
            thread.setDaemon(true);
            return thread;
        });
        timer.scheduleWithFixedDelay(this::look, PERIOD_MS, PERIOD_MS, TimeUnit.MILLISECONDS);
    }

    /** Looks at the file now. */
    public synchronized void look() {
        try {
            String text = LocalSettings.text(file);
            if (text.equals(readText)) {
                return;
            }
            readText = text;
            LocalSettings found = LocalSettings.parse(file, text);
            fault = "";
            if (!found.equals(current)) {
                current = found;
                taken.accept(found);
            }
        } catch (SettingsException e) {
            if (!e.getMessage().equals(fault)) {
                fault = e.getMessage();
                LOG.log(System.Logger.Level.WARNING, fault + "; the earlier settings stay in force");
            }
        }
    }
}
