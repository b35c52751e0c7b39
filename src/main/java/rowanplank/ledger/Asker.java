package rowanplank.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rowanplank.ledger.Ask.Answer;
import rowanplank.ledger.Result.Kind;

/**
 * A node's questions that need no session: who holds a lease, as of a moment after the asking. Each is asked until it is
 * answered by a leader that has confirmed that it leads, or is given up; asked again it is a new question.
 *
 * <p>Bound: {@value #MOST} at once. A call costs O(open questions).
 */
public final class Asker {
    /** Its numbers begin here, so that its answers are not taken for those of {@link LeaseHolder}. */
    public static final long FIRST_NUMBER = 1L << 40;
    private static final int MOST = 64;

    /** What it asks of its owner; none of these calls back into it. */
    public interface Actions {
        void ask(String voter, Ask ask);

        /** @param result null where nobody could say */
        void answered(long number, Result result);
    }

    private static final class Question {
        final Ask ask;
        final Instant until;
        int target;
        Instant askAgain;

        Question(Ask ask, int target, Instant now, Instant until) {
            this.ask = ask;
            this.target = target;
            this.until = until;
            askAgain = now;
        }
    }

    private final LeaseHolder.Settings settings;
    private final Duration patience;
    private List<String> voters;
    private final Actions actions;
    private final Map<Long, Question> open = new TreeMap<>();
    private long numbers = FIRST_NUMBER;
    private int target;

    /** @param patience a question that was not answered by then is given up */
    public Asker(LeaseHolder.Settings settings, Duration patience, Actions actions) {
        this.settings = settings;
        voters = settings.voters();
        this.patience = patience;
        this.actions = actions;
    }

    /** @return the question's number; 0 where too many are open */
    public long read(Instant now, String lease) {
        return ask(now, new Ask.Read(lease));
    }

    /** The same for whatever may be asked again without harm. */
    public long ask(Instant now, Ask.What what) {
        if (open.size() >= MOST) {
            return 0;
        }
        long number = ++numbers;
        open.put(number, new Question(new Ask(settings.node(), settings.incarnation(), 0, number, number, what), target, now, now.plus(patience)));
        return number;
    }

    /** Whom to ask from now on. */
    public void voters(List<String> names) {
        voters = List.copyOf(names);
    }

    public Instant due() {
        Instant due = null;
        for (Question q : open.values()) {
            due = due == null || q.askAgain.isBefore(due) ? q.askAgain : due;
        }
        return due;
    }

    public void onTime(Instant now) {
        for (Map.Entry<Long, Question> e : new ArrayList<>(open.entrySet())) {
            Question q = e.getValue();
            if (!now.isBefore(q.until)) {
                open.remove(e.getKey());
                actions.answered(e.getKey(), null);
            } else if (!now.isBefore(q.askAgain)) {
                actions.ask(voters.get(q.target % voters.size()), q.ask);
                q.target++; // a voter that does not answer is not asked twice in a row
                q.askAgain = now.plus(settings.retry());
            }
        }
    }

    public void onAnswer(Instant now, Answer answer) {
        Question q = answer.incarnation() == settings.incarnation() ? open.get(answer.number()) : null;
        if (q == null) {
            return;
        }
        int named = voters.indexOf(answer.result().node());
        if (answer.result().kind() == Kind.NOT_LEADER) {
            if (named >= 0) {
                target = named;
                q.target = named;
                q.askAgain = now;
            }
            return;
        }
        open.remove(answer.number());
        actions.answered(answer.number(), answer.result());
    }
}
