package rowanplank;

import rowanplank.cli.Cli;

/** Where the program starts. */
public final class Main {
    private Main() { }

    public static void main(String[] args) throws Exception {
        int status = Cli.run(args);
        if (status != 0) {
            System.exit(status);
        }
    }
}
