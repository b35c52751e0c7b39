package rowanplank.cli;

import rowanplank.simhost.Simhost;

/** The program's commands: {@code serve} is one real node, {@code simhost} hosts many on the simulator's wire. */
public final class Cli {
    private Cli() { }

    /** @return the exit status; where it is 0, threads that the command left behind run on */
    public static int run(String[] args) throws Exception {
        switch (args.length == 1 ? args[0] : "") {
            case "serve" -> {
                return Serve.run(System.getenv());
            }
            case "simhost" -> {
                return Simhost.run();
            }
            default -> {
                return Status.failed(Status.USAGE, "usage: rowanplank serve | simhost");
            }
        }
    }
}
