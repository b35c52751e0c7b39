package rowanplank.net;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.function.IntConsumer;

/** The seam to programs that a node starts. Used on the loop's thread, and calls back on it, never within the call. */
public interface Programs {
    /** One that was started. */
    interface Running {
        /** Asks it to end (SIGTERM). */
        void stop();

        /** Ends it outright (SIGKILL). */
        void kill();
    }

    /**
     * @param environment put over this process's own
     * @param ended told the exit status, once
     * @throws IOException if it can't be started
     */
    Running start(List<String> command, Map<String, String> environment, IntConsumer ended) throws IOException;

    /** Those of the machine, whose output is dropped and whose input ends with this process. */
    static Programs system(Loop loop) {
        return (command, environment, ended) -> {
            ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD);
            builder.environment().putAll(environment);
            Process process = builder.start();
            process.onExit().thenAccept(p -> loop.execute(() -> ended.accept(p.exitValue())));
            return new Running() {
                @Override
                public void stop() {
                    process.destroy();
                }

                @Override
                public void kill() {
                    process.destroyForcibly();
                }
            };
        };
    }
}
