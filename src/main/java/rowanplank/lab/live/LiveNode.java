package rowanplank.lab.live;

import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import rowanplank.lab.client.Lives;
import rowanplank.lab.day.Day.RequestClass;
import rowanplank.lab.run.NodeControl;
import rowanplank.lab.run.NodeText;
import rowanplank.lab.site.DiscoveryAgent;
import rowanplank.lab.trace.Event.Kind;
import rowanplank.net.ChildProcesses;
import rowanplank.net.ChildProcesses.Child;

/** A node whose process is a child of this one: one life after the other, as the platform would start them. */
final class LiveNode implements NodeControl {
    private static final Duration LONGEST_DEADLINE = Duration.ofSeconds(3);
    /** SIGKILL comes so long after SIGTERM, and the longest deadline. */
    private static final Duration KILLED_AFTER = Duration.ofMillis(700);

    private final LiveSite site;
    private final int number;
    private final Lives lives;
    private final Path folder;
    private final List<String> command;
    private final ChildProcesses children;
    private final Runnable crashed;
    /** The list as it was when the node last had it. */
    private JsonObject known;
    private Child child;
    private boolean stopping;
    private boolean killed;

    /**
     * @param folder where its files are: {@code NAME.json} and {@code NAME.log}
     * @param command starts a node
     * @param crashed run when its process ends and nobody told it to
     */
    LiveNode(LiveSite site, int number, Lives lives, Path folder, List<String> command, ChildProcesses children,
            Runnable crashed) {
        this.site = site;
        this.number = number;
        this.lives = lives;
        this.folder = folder;
        this.command = command;
        this.children = children;
        this.crashed = crashed;
        known = agent().list();
    }

    @Override
    public DiscoveryAgent agent() {
        return site.agent(number);
    }

    @Override
    public boolean isRunning() {
        return child != null;
    }

    @Override
    public boolean isStopping() {
        return isRunning() && stopping;
    }

    private String file(String ending) {
        return folder.resolve(NodeText.name(number) + ending).toAbsolutePath().toString();
    }

    @Override
    public void start() {
        if (isRunning()) {
            return;
        }
        stopping = false;
        killed = false;
        try {
            String configuration = file(".json");
            Files.writeString(Path.of(configuration), site.configuration(number, known));
            tell(Kind.NODE_STARTED, site.ground().hall(number), null);
            lives.started(number);
            agent().nodeStarts();
            child = children.start(command, site.environment(number, configuration), file(".log"),
                    status -> site.ground().loop().execute(() -> ended(status)));
        } catch (IOException e) {
            tell(Kind.NODE_LOGGED, 1, "can't be started: " + e.getMessage());
            ended(-1);
        }
    }

    private void tell(Kind kind, long value, String text) {
        site.ground().tell(kind, number, value, text);
    }

    private void ended(int status) {
        child = null;
        known = agent().list();
        agent().nodeEnds();
        if (!killed) {
            tell(Kind.NODE_ENDED, status, null);
        }
        if (!killed && !stopping) {
            crashed.run();
        }
    }

    @Override
    public void kill() {
        if (isRunning() && !killed) {
            killed = true;
            tell(Kind.NODE_KILLED, 0, null);
            child.kill();
        }
    }

    @Override
    public void stop() {
        if (!isRunning() || stopping) {
            return;
        }
        stopping = true;
        tell(Kind.NODE_TOLD_TO_STOP, 0, null);
        Child told = child;
        told.stop();
        Duration longest = site.ground().day().classes().stream().map(RequestClass::deadline).max(Duration::compareTo)
                .filter(d -> d.compareTo(LONGEST_DEADLINE) < 0).orElse(LONGEST_DEADLINE);
        site.ground().after(longest.plus(KILLED_AFTER), () -> {
            if (told == child) {
                kill();
            }
        });
    }
}
