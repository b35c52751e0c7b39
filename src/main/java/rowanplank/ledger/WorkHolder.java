package rowanplank.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import rowanplank.ledger.Ask.Answer;
import rowanplank.ledger.Result.Kind;

/**
 * A node's side of the order of work: asks the leader again and again for its machine's line, drains when that has its
 * turn, says when nothing is open any more, and takes clients again when the line says so. What is told is acted on within
 * {@code valid} of its asking only, by this node's clock; where nothing is heard, it stays as it is.
 *
 * <p>A process that comes up takes no clients before it has heard. Where it hears nobody for {@code aloneAfter} it serves, if
 * the operator has chosen so.
 *
 * <p>Holds a few fields; a call costs O(1).
 */
public class WorkHolder {
    /** Its numbers begin here, so that its answers are not taken for those of others of this process. */
    public static final long FIRST_NUMBER = 1L << 41;
    private static final Duration OFTEN = Duration.ofMillis(100);
    /**
     * Clients' fronts ask now and then whether a node takes clients, and send to it until they have heard no: it does not say
     * that it is out before it has looked so often, {@link #OFTEN} apart, since it began to drain. Looks and not time: a node
     * that stands still tells nobody no.
     */
    private static final int LOOKS = 10;

    /** @param poll how often it asks while nothing is going on */
    public record Settings(String node, long incarnation, String machine, String hall, List<String> voters, Duration poll,
            Duration valid, Duration settle, boolean servesAlone, Duration aloneAfter) {
        public Settings {
            voters = List.copyOf(voters);
        }
    }

    /** What it asks of its owner; none of these calls back into it. */
    public interface Actions {
        void ask(String voter, Ask ask);

        /** Take no clients any more, and let go those that are there. */
        void drain();

        void rejoin();

        /** Whether no client, no request and no try is open. */
        boolean isEmpty();

        /** Whether it takes clients. */
        boolean isReady();

        /** How it has served lately; null where that is not known. */
        Ask.Service service();
    }

    private final Settings settings;
    private final Actions actions;
    private final Instant began;
    private List<String> voters;
    private int target;
    private long number = FIRST_NUMBER;
    private Instant asked;
    private Instant askAt;
    private boolean isKnown;
    /** Whether this node drains, or has not begun yet to take clients, for work's sake. */
    private boolean drained = true;
    private Work.Line line;
    private Instant readySince;
    /** How often it has heard of its turn since it drains. */
    private int looks;
    private String standing = "";

    /** To be made before the node takes clients: it takes none until {@link Actions#rejoin}. */
    public WorkHolder(Settings settings, Instant now, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        began = now;
        askAt = now;
        voters = settings.voters();
        actions.drain();
    }

    /** Whom to ask from now on. */
    public void voters(List<String> names) {
        voters = List.copyOf(names);
        target %= voters.size();
    }

    /** Its machine's line, as it heard last; null where there is none, or nothing was heard yet. */
    public Work.Line line() {
        return line;
    }

    /** What speaks against the next turn, as the leader said last; empty where nothing does. */
    public String standing() {
        return standing;
    }

    public boolean isKnown() {
        return isKnown;
    }

    public Instant due() {
        return askAt;
    }

    public void onTime(Instant now) {
        if (!isKnown && drained && settings.servesAlone() && !now.isBefore(began.plus(settings.aloneAfter()))) {
            rejoin();
        }
        readySince = !actions.isReady() ? null : readySince == null ? now : readySince;
        if (!now.isBefore(askAt)) {
            if (asked != null) {
                target = (target + 1) % voters.size(); // it did not answer
            }
            ask(now);
        }
    }

    private void ask(Instant now) {
        asked = now;
        askAt = now.plus(settings.poll());
        send(++number, new Ask.Poll(settings.machine(), settings.hall(), actions.service()));
    }

    private void send(long n, Ask.What what) {
        actions.ask(voters.get(target), new Ask(settings.node(), settings.incarnation(), 0, n, n, what));
    }

    /**
     * Guards a machine that is out: an answer to an earlier process of this node, an old one, or one that says nothing of
     * the line never sends it back.
     */
    public void onAnswer(Instant now, Answer answer) {
        if (answer.incarnation() != settings.incarnation() || answer.number() != number || asked == null) {
            return;
        }
        Instant from = asked;
        asked = null;
        askAt = later(askAt, now.plus(OFTEN));
        Kind kind = answer.result().kind();
        if (kind == Kind.NOT_LEADER) {
            int named = voters.indexOf(answer.result().node());
            target = named >= 0 ? named : (target + 1) % voters.size();
            askAt = named >= 0 ? now : now.plus(OFTEN);
        } else if (kind == Kind.SET && isValid(now, from)) {
            isKnown = true;
            line = answer.line();
            standing = answer.result().node();
            act(now);
            askAt = now.plus(line == null || !line.isAway() ? settings.poll() : OFTEN);
        } else if (hasNoPart(kind) && isValid(now, from) && (line == null || !line.isAway())) {
            isKnown = true;
            rejoin();
        }
    }

    /** Not all voters understand an order of work yet, so that there is none; or it has no room for one more node. */
    private static boolean hasNoPart(Kind kind) {
        return kind == Kind.TOO_NEW || kind == Kind.FULL;
    }

    private static Instant later(Instant a, Instant b) {
        return a.isAfter(b) ? a : b;
    }

    /** Whether what was asked for then may still be acted on. */
    protected boolean isValid(Instant now, Instant from) {
        return now.isBefore(from.plus(settings.valid()));
    }

    private void act(Instant now) {
        if (line == null || line.state() == Work.State.ASKED) {
            rejoin();
        } else if (line.state() == Work.State.TURN) {
            drain();
            if (++looks > LOOKS && isEmpty()) {
                step();
            }
        } else if (line.state() == Work.State.OUT) {
            drain();
            Long said = line.said().get(settings.node());
            if (line.restart() && said != null && Math.abs(said) != settings.incarnation()) {
                step();
            }
        } else {
            rejoin();
            if (readySince != null && !now.isBefore(readySince.plus(settings.settle()))) {
                step();
            }
        }
    }

    /** Whether it may say that it is out. */
    protected boolean isEmpty() {
        return actions.isEmpty();
    }

    private void step() {
        send(number, new Ask.Step(line.fence(), line.state()));
    }

    private void drain() {
        if (!drained) {
            drained = true;
            looks = 0;
            actions.drain();
        }
    }

    private void rejoin() {
        if (drained) {
            drained = false;
            readySince = null;
            actions.rejoin();
        }
    }
}
