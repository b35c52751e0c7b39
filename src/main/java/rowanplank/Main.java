package rowanplank;

import rowanplank.cli.Cli;
import rowanplank.cli.LimitedLoggers;

/** Where the program starts. */
public final class Main {
    private Main() { }

    public static void main(String[] args) throws Exception {
        LimitedLoggers.use();
        int status = Cli.run(args);
        if (status != 0) {
            System.exit(status);
        }
    }
}
