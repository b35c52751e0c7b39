package rowanplank.cli;

/** Exit statuses, the same for all commands. */
final class Status {
    static final int DONE = 0;
    /** It ran and failed. */
    static final int FAILED = 1;
    /** The command line, or a file that it names, can't be used. */
    static final int USAGE = 2;
    /** In the laboratory: a rule was broken. */
    static final int RULE_BROKEN = 3;
    static final int INTERRUPTED = 130;

    private Status() { }

    /** Says in one line on standard error what went wrong. */
    static int failed(int status, String line) {
        System.err.println("rowanplank: " + String.valueOf(line).replaceAll("\\R", " "));
        return status;
    }
}
