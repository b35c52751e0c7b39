package rowanplank.lab.trial;

import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import org.apache.commons.rng.UniformRandomProvider;
import rowanplank.config.FleetConfig;
import rowanplank.lab.trial.judge.Event;
import rowanplank.lab.trial.judge.Judge;
import rowanplank.net.Loop;
import rowanplank.net.Ports;

/**
 * What a trial is about: what the nodes' files say, what is read of their status, what changes in all of it, and by which
 * rules the history is judged. The trial does what it says, among real processes or in virtual time. One is of one trial.
 */
interface Subject {
    /** Where what it reads and does is written down. */
    interface Notes {
        void tell(Event.Kind kind, String node, String name, long number, long other, String text);
    }

    /** What stands in a node's file beside where it is and who votes. */
    record Wishes(List<FleetConfig.Lease> leases, List<FleetConfig.Task> tasks, FleetConfig.Sharing sharing,
            FleetConfig.Order order) {
        Wishes(List<FleetConfig.Lease> leases, List<FleetConfig.Task> tasks, FleetConfig.Sharing sharing) {
            this(leases, tasks, sharing, null);
        }
    }

    /** What staff, and whatever runs the nodes, may do at them. */
    interface Hands {
        void after(Duration delay, Runnable task);

        boolean runs(int node);

        /** @param told {@code done}, {@code refused} or {@code unknown}; not told where the trial ends before */
        void say(int node, WorkWords words, Consumer<String> told);

        /** Staff drain it, or take it back, at its door. */
        void byHand(int node, boolean drain);

        /** As the platform does: SIGTERM, and a new process so long after its end. */
        void stop(int node, Duration back);

        /** It is killed outright, and comes back so long after. */
        void kill(int node, Duration back);

        /** A fault of this kind, now. */
        void strike(Trouble.Kind kind);
    }

    /** A whole that staff ask for. */
    record Whole(String budget, long whole) { }

    /** @param command what its tasks and workers run */
    Wishes wishes(int node, List<String> command);

    /**
     * Among real processes: what is to be there before the nodes, on the trial's loop.
     *
     * @param notes may be told from any thread
     */
    default void begin(Ports ports, Path folder, Loop loop, Notes notes) throws IOException { }

    /** Where a node finds discovery; where there is none, nobody answers. */
    default InetSocketAddress discovery(int node) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    }

    /** The nodes begin. @param nodes where clients reach each */
    default void listens(IntFunction<InetSocketAddress> nodes) { }

    /** What {@link #begin} began ends; after the judging. */
    default void close() { }

    /** A node's file, as it is from now on, was written. */
    default void written(int node, Notes notes) { }

    /** The node's file is to say something else from now on. */
    void change(int node, UniformRandomProvider chance);

    /** At all nodes at once more is to be done than before, or that is over. @return whether their files say so */
    default boolean rush() {
        return false;
    }

    /** For the end all files are to say what is judged then. @return whose do not yet */
    List<Integer> settle();

    /** What staff ask for next; null where there is nothing of the kind. */
    default Whole whole(UniformRandomProvider chance) {
        return null;
    }

    /** How late a node starts. */
    default Duration startsAfter(int node) {
        return Duration.ZERO;
    }

    /** The longest that an act may take. */
    Duration longest();

    /** What one act takes in virtual time at the most, in ms, but for those that take all that they may. */
    default int mostMillis() {
        return 65;
    }

    /** What one act takes, in the shell of real processes: seconds. */
    String takes();

    /** Whether who acts under this name is the one that trouble seeks out, as the holder. */
    boolean isHeld(String name);

    /** The lease that somebody asks after all the time; null where there is none. */
    default String asked() {
        return null;
    }

    /** What may break where the plan names nothing. */
    List<Trouble.Kind> faults();

    /** What happens all the time beside the faults, where the plan names none. */
    default List<Trouble.Kind> stir() {
        return List.of();
    }

    /** It begins to count, and things break from here on. */
    default void plays(Hands hands, Notes notes) { }

    /** In virtual time: requests a second for each node; 0 where nodes have no clients. */
    default double requests() {
        return 0;
    }

    /** Whom trouble seeks out as the holder; -1 where that is whoever acted last. */
    default int sought() {
        return -1;
    }

    /** Nothing breaks any more, and all runs again. */
    default void quiet() { }

    /** Whether nothing is left to be done, so that it may end. */
    default boolean isAtRest() {
        return true;
    }

    /** Whether all that is judged of the end has been seen to be so, so that nothing more need be waited for. */
    default boolean isShown() {
        return false;
    }

    /** So long it is waited for that at the most. @param planned it does not end before */
    default Duration longestQuiet(Duration planned) {
        return planned;
    }

    /** What any node said of itself. */
    default void heard(String node, JsonObject status, Notes notes) { }

    /** What a node that votes said of itself. */
    default void read(String node, JsonObject status, Notes notes) { }

    /** The node begins anew, and what it said before is past. */
    default void started(String node) { }

    Judge judge(List<Event> history, Duration goesOn);

    TrialResult.Figures figures(List<Event> history);
}
