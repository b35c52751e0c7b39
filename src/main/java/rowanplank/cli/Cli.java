package rowanplank.cli;

import rowanplank.simhost.Simhost;

/** The program's commands; {@link RootCommand} lists them. */
public final class Cli {
    private Cli() { }

    /**
     * Runs a command line. {@code serve} and {@code simhost} by themselves go past picocli: its reflection would take
     * time and memory of each node's start, and of a node's 192 MB, to read one word.
     *
     * @return the exit status; where it is 0, threads that the command left behind run on
     */
    public static int run(String[] args) throws Exception {
        return switch (String.join(" ", args)) {
            case "serve" -> Serve.run(System.getenv());
            case "serve " + ServeCommand.END_WITH_INPUT -> {
                Serve.endWithInput();
                yield Serve.run(System.getenv());
            }
            case "simhost" -> Simhost.run();
            default -> CommandLines.run(args);
        };
    }
}
