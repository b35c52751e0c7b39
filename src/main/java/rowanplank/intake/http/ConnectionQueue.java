package rowanplank.intake.http;

import java.time.Duration;
import java.time.Instant;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * A node's client connections by what they are at, and since when: which of them makes room for others, and whose time
 * is up, without a look at the rest. It touches no socket and no clock.
 *
 * <p>Order: by the time since which a connection has been at its stage; of several of one time, by the order in which
 * they joined. Cost, with n connections at the stage: to join, to move on, to leave, and each connection that is
 * looked at, O(log n), one red-black tree a stage; counts O(1). Bound: as many as its caller lets join.
 */
final class ConnectionQueue {
    /** What a connection is at. */
    enum Stage {
        /** Nothing has come since it was opened. */
        SILENT,
        /** Part of its first request has come. */
        BEGINNING,
        /** A body too large to be held comes, and is sent on; since its last piece. */
        SENDING,
        /** It owes an answer that is still to be decided; its deadline is kept by the core, and it is in no tree. */
        WAITING,
        /** Its answer is being written. */
        WRITING,
        /** It has been answered, and nothing has come since. */
        RESTING,
        /** Part of a later request has come. */
        GOING_ON,
        /** It has had its last answer, and is read on for a moment. */
        LINGERING
    }

    /** What is queued here. */
    interface Connection {
        /**
         * Ends the connection if it owes nothing, also not for what has come in but was not yet read: it lingers, or is
         * closed where the client has ended it.
         *
         * @return whether it is ended
         */
        boolean endIfIdle();

        /** Closes one that lingers, now. */
        void closeLingering();

        /** It has been at its stage for too long; whatever this does, it is there anew, or no more. */
        void timeUp();
    }

    /** A connection so new may hold a request that is yet to be read. */
    private static final Duration FRESH = Duration.ofMillis(100);
    /** A client that asks one thing after the other has done so by then. */
    private static final Duration PAUSE = Duration.ofMillis(20);
    /** A request must come whole within this time of its first byte, and the first one of the connecting. */
    private static final Duration SLOWEST_REQUEST = Duration.ofMillis(2500);
    private static final Duration SLOWEST_READER = Duration.ofSeconds(10);
    private static final Duration LONGEST_IDLE = Duration.ofSeconds(120);
    /** And where connections are many: clients may ask once and keep their connection for good. */
    private static final Duration LONGEST_IDLE_CROWDED = Duration.ofSeconds(2);
    /** How long a closed connection is read on, so that the answer is not lost to a reset. */
    private static final Duration LINGER = Duration.ofSeconds(1);
    /** Connections are held to be many from this part of the most on. */
    private static final int CROWDED_PART = 4;

    /** One that is found to have begun late is not ended in the same review. */
    private static final List<Stage> REVIEWED = List.of(Stage.LINGERING, Stage.WRITING, Stage.SENDING, Stage.GOING_ON,
            Stage.BEGINNING, Stage.SILENT, Stage.RESTING);

    private final int mostConnections;
    private final int mostServed;
    private final Map<Stage, TreeSet<Place>> places = new EnumMap<>(Stage.class);
    private int size;
    private int served;
    private long joined;

    /**
     * @param mostConnections the most that the caller means to take; from a part of it on, connections at rest go soon
     * @param mostServed how many connections of clients that have asked are kept
     */
    ConnectionQueue(int mostConnections, int mostServed) {
        this.mostConnections = mostConnections;
        this.mostServed = mostServed;
        for (Stage stage : Stage.values()) {
            places.put(stage, new TreeSet<>());
        }
    }

    /** A connection's place in the queue; its connection alone moves it. */
    final class Place implements Comparable<Place> {
        private final Connection connection;
        private final long number = joined++;
        private Stage stage = Stage.SILENT;
        private Instant since;
        private boolean asked;
        private boolean left;

        private Place(Connection connection, Instant since) {
            this.connection = connection;
            this.since = since;
        }

        Stage stage() {
            return stage;
        }

        /** Part of a request has come. The first one's time counts from connecting, a later one's from now. */
        void begin(Instant now) {
            if (stage == Stage.SILENT) {
                move(Stage.BEGINNING, since);
            } else if (stage == Stage.RESTING) {
                move(Stage.GOING_ON, now);
            }
        }

        /** Since when it is at its stage. */
        Instant since() {
            return since;
        }

        /** A whole request has come, or one that can't be taken. */
        void asked() {
            if (!asked && !left && stage != Stage.LINGERING) {
                asked = true;
                served++;
            }
        }

        /** One that has left stays out, whatever is still done with it. */
        void move(Stage to, Instant now) {
            places.get(stage).remove(this);
            stage = to;
            since = now;
            if (to == Stage.LINGERING) {
                servesNoMore();
            }
            if (!left && to != Stage.WAITING) {
                places.get(to).add(this);
            }
        }

        /** The connection is closed. */
        void leave() {
            if (!left) {
                left = true;
                places.get(stage).remove(this);
                size--;
                servesNoMore();
            }
        }

        private void servesNoMore() {
            served -= asked ? 1 : 0;
            asked = false;
        }

        @Override
        public int compareTo(Place other) {
            int order = since.compareTo(other.since);
            return order != 0 ? order : Long.compare(number, other.number);
        }
    }

    Place join(Connection connection, Instant now) {
        Place place = new Place(connection, now);
        places.get(place.stage).add(place);
        size++;
        return place;
    }

    int size() {
        return size;
    }

    /**
     * Makes room for a newcomer. Those that connect and say nothing go first: they must not push out clients that
     * are served. A connection that turns out to have sent something stays, and the next one is tried.
     *
     * @return whether one was ended, which may linger
     */
    boolean endOneAtRest(Instant now) {
        return endFirst(Stage.SILENT, now.minus(FRESH)) || endFirst(Stage.RESTING, now.minus(LONGEST_IDLE_CROWDED));
    }

    /** The same where none has been at rest for long. */
    boolean endOneIdle() {
        return endFirst(Stage.SILENT, Instant.MAX) || endFirst(Stage.RESTING, Instant.MAX);
    }

    /**
     * Guards clients that can hold only so many connections to a node: some ask once and keep theirs, and once all
     * are held in that way, no further request finds one. The longest at rest go first; one that sends its next
     * request meanwhile sends it again on a new connection, which only a first request could not.
     *
     * @return whether there were too many, and one was ended
     */
    boolean endOneServed(Instant now) {
        return served > mostServed && endFirst(Stage.RESTING, now.minus(PAUSE));
    }

    /**
     * Where there is no room for those that linger: closes the one that has for longest.
     *
     * @return whether there was one
     */
    boolean closeOneLingering() {
        TreeSet<Place> at = places.get(Stage.LINGERING);
        if (at.isEmpty()) {
            return false;
        }
        at.first().connection.closeLingering();
        return true;
    }

    /** Each that was at the stage is looked at once: one that is not ended has moved on, or come back to the end. */
    private boolean endFirst(Stage stage, Instant before) {
        TreeSet<Place> at = places.get(stage);
        for (int left = at.size(); left > 0 && isBefore(at, before); left--) {
            if (at.first().connection.endIfIdle()) {
                return true;
            }
        }
        return false;
    }

    private static boolean isBefore(TreeSet<Place> at, Instant before) {
        return !at.isEmpty() && at.first().since.isBefore(before);
    }

    /**
     * Guards against clients that stop in the middle of something, or never begin, and keep their socket: tells those
     * that have been at their stage for too long, the longest first, stage by stage.
     *
     * @param most so many are told at most
     * @param rest how long a connection that owes nothing is kept now; null where only the stage's own time counts
     * @return how many were told
     */
    int review(Instant now, int most, Duration rest) {
        int told = 0;
        for (Stage stage : REVIEWED) {
            TreeSet<Place> at = places.get(stage);
            while (told < most && isBefore(at, now.minus(longest(stage, rest)))) {
                at.first().connection.timeUp();
                told++;
            }
        }
        return told;
    }

    private Duration longest(Stage stage, Duration rest) {
        return switch (stage) {
            case SILENT -> shorter(SLOWEST_REQUEST, rest);
            case BEGINNING, GOING_ON, SENDING -> SLOWEST_REQUEST;
            case WRITING -> SLOWEST_READER;
            case RESTING -> shorter(isCrowded() ? LONGEST_IDLE_CROWDED : LONGEST_IDLE, rest);
            case LINGERING -> LINGER;
            case WAITING -> throw new IllegalArgumentException("a request that waits is not reviewed");
        };
    }

    private static Duration shorter(Duration own, Duration rest) {
        return rest == null || own.compareTo(rest) < 0 ? own : rest;
    }

    /** Whether so many are connected that those at rest must make room. */
    private boolean isCrowded() {
        return size > mostConnections / CROWDED_PART;
    }

    /** How many have owed nothing since before that time: a look at each. */
    int atRestCount(Instant before) {
        return (int) Stream.of(Stage.SILENT, Stage.RESTING)
                .flatMap(s -> places.get(s).stream()).filter(p -> p.since.isBefore(before)).count();
    }

    /** Ends all that owe nothing: a look at each. */
    void endIdle() {
        for (Stage stage : List.of(Stage.SILENT, Stage.RESTING)) {
            List.copyOf(places.get(stage)).forEach(p -> p.connection.endIfIdle());
        }
    }
}
