package routerfleet.log;

/**
 * Gives the fleet's classes their loggers. In the fleet's own processes these write to the process's log at once; embedded
 * elsewhere they are those of the platform. To have the platform look for its loggers takes 12 ms of processor time, which
 * each start of a process would pay before it serves.
 */
public final class Loggers {
    /** Set in processes whose log is {@link FleetLoggerFinder}'s. */
    private static final String OWN_PROCESS = "routerfleet.log.own";

    private Loggers() { }

    /** The logger of that name; it stays the same. */
    public static System.Logger get(String name) {
        return Boolean.getBoolean(OWN_PROCESS) ? FleetLoggerFinder.logger(name) : System.getLogger(name);
    }

    /** This process's log is the fleet's own; to be called before any logger is asked for. */
    static void ownProcess() {
        System.setProperty(OWN_PROCESS, "true");
    }
}
