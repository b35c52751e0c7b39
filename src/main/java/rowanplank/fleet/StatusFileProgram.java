package rowanplank.fleet;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.WriterConfig;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.IntConsumer;
import java.util.function.Supplier;
import rowanplank.config.FleetConfig;
import rowanplank.metrics.RateLimitedLog;
import rowanplank.net.Programs;
import rowanplank.net.WholeFiles;

/**
 * Runs the built-in task that is not a command: it writes the fleet's status, as the lease holder knows it, to a file
 * with the fence in its name, so that the file of the later holder can be recognized. Files with lower fences are
 * deleted.
 */
final class StatusFileProgram implements Programs {
    private static final String NAME = "fleet-%019d.json";

    private final Supplier<String> directory;
    private final Supplier<JsonObject> currentStatus;
    private final WholeFiles files;
    private final RateLimitedLog log;
    private final Programs others;

    /**
     * Wraps the programs of all other tasks.
     *
     * @param directory the current directory of status files
     * @param currentStatus the current status
     * @param others starts all other tasks
     */
    StatusFileProgram(Supplier<String> directory, Supplier<JsonObject> currentStatus, WholeFiles files,
            RateLimitedLog log, Programs others) {
        this.directory = directory;
        this.currentStatus = currentStatus;
        this.files = files;
        this.log = log;
        this.others = others;
    }

    @Override
    public Running start(List<String> command, Map<String, String> environment, IntConsumer ended) throws IOException {
        if (!FleetConfig.PICTURE.equals(environment.get("FLEET_TASK"))) {
            return others.start(command, environment, ended);
        }
        long fence = Long.parseLong(environment.get("FLEET_FENCE"));
        String name = String.format(NAME, fence);
        byte[] content = currentStatus.get().add("fence", fence).toString(WriterConfig.PRETTY_PRINT)
                .getBytes(StandardCharsets.UTF_8);
        String target = directory.get();
        files.put(target, name, content, n -> n.matches("fleet-[0-9]{19}\\.json") && n.compareTo(name) < 0, failure -> {
            if (failure != null) {
                log.warn("the fleet's status can't be written to " + target + ": " + failure.getMessage());
            }
            ended.accept(failure == null ? 0 : 1);
        });
        return new Running() {
            @Override
            public void stop() { } // a write that has started always completes

            @Override
            public void kill() { }
        };
    }
}
