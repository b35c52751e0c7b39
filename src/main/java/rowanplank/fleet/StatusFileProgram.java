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
 * The one task that is no command: writes the fleet's picture, as its holder knows it, to a file with the fence in its
 * name, so that of two files the later holder's is told apart. Files of lower fences go.
 */
final class StatusFileProgram implements Programs {
    private static final String NAME = "fleet-%019d.json";

    private final Supplier<String> directory;
    private final Supplier<JsonObject> picture;
    private final WholeFiles files;
    private final RateLimitedLog log;
    private final Programs others;

    /** @param others start all other tasks */
    StatusFileProgram(Supplier<String> directory, Supplier<JsonObject> picture, WholeFiles files, RateLimitedLog log,
            Programs others) {
        this.directory = directory;
        this.picture = picture;
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
        byte[] content = picture.get().add("fence", fence).toString(WriterConfig.PRETTY_PRINT)
                .getBytes(StandardCharsets.UTF_8);
        String folder = directory.get();
        files.put(folder, name, content, n -> n.matches("fleet-[0-9]{19}\\.json") && n.compareTo(name) < 0, failure -> {
            if (failure != null) {
                log.warn("the fleet's picture can't be written to " + folder + ": " + failure.getMessage());
            }
            ended.accept(failure == null ? 0 : 1);
        });
        return new Running() {
            @Override
            public void stop() { } // a write that has begun ends by itself

            @Override
            public void kill() { }
        };
    }
}
