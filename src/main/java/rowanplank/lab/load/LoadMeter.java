package rowanplank.lab.load;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.SingleWriterRecorder;
import rowanplank.lab.load.LoadPlan.LoadClass;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Trace;

/**
 * What one thread's clients saw, from their events. Counted are requests that were due in the plan's length, after the
 * warm-up; a request that is asked again after a refusal counts once, with its last end and its first due time.
 *
 * <p>Times are in microseconds with three digits. They are recorded on the thread's own, and may be taken by another.
 *
 * <p>Holds some 200 bytes for each open request and, where clients heed refusals, for each that was refused until the
 * time that its client waits is over.
 */
final class LoadMeter implements Trace {
    /** What can become of a request. */
    enum End { SERVED, REFUSED, FAILED, CUT_SHORT, GAVE_UP, NOT_CONNECTED }

    private static final int DIGITS = 3;
    private static final int OK = 200;

    private static final class Asked {
        final int type;
        final long due;
        final long until;
        long sentAt;
        End end;

        Asked(int type, long due, long until) {
            this.type = type;
            this.due = due;
            this.until = until;
        }
    }

    private final List<String> names;
    private final boolean heeds;
    private final Map<Long, Asked> asked = new LinkedHashMap<>();
    private final long[][] ends;
    private final List<SingleWriterRecorder> recorders = new ArrayList<>();
    private final SingleWriterRecorder anyEnd;
    private final SingleWriterRecorder fromSent;
    private final SingleWriterRecorder lateness;
    private long from = Long.MAX_VALUE;
    private long until = Long.MAX_VALUE;

    LoadMeter(LoadPlan plan) {
        names = plan.classes().stream().map(LoadClass::name).toList();
        heeds = plan.heeds() > 0;
        ends = new long[names.size()][End.values().length];
        names.forEach(n -> recorder());
        anyEnd = recorder();
        fromSent = recorder();
        lateness = recorder();
    }

    private SingleWriterRecorder recorder() {
        SingleWriterRecorder recorder = new SingleWriterRecorder(DIGITS);
        recorders.add(recorder);
        return recorder;
    }

    /** What {@link #take} gives, in its order: each class, then these. */
    static List<String> tags(LoadPlan plan) {
        List<String> tags = new ArrayList<>(plan.classes().stream().map(LoadClass::name).toList());
        tags.addAll(List.of("any-end", "from-sent", "lateness"));
        return tags;
    }

    /** Counts what is due from then on, until then; in nanoseconds since the witness's beginning. */
    void count(long first, long bound) {
        from = first;
        until = bound;
    }

    private boolean counts(long due) {
        return due >= from && due < until;
    }

    /** A request was dealt with so long after it was due. */
    void late(long due, long nanos) {
        if (counts(due)) {
            lateness.recordValue(nanos / 1000);
        }
    }

    @Override
    public void tell(Event e) {
        switch (e.kind()) {
            case ARRIVED -> {
                forget(e.at());
                asked.put(e.request(), new Asked(names.indexOf(e.text()), e.at(), e.value()));
            }
            case ASKED -> sent(e);
            case ASKED_AGAIN -> askedAgain(e);
            case ANSWERED -> {
                if (e.value() != 0) {
                    ended(e, e.value() == OK ? End.SERVED : e.value() == 429 || e.value() == 503 ? End.REFUSED : End.FAILED);
                }
            }
            case CUT_SHORT -> ended(e, End.CUT_SHORT);
            case GAVE_UP -> ended(e, End.GAVE_UP);
            case NOT_CONNECTED -> ended(e, End.NOT_CONNECTED);
            default -> { }
        }
    }

    /** Guards memory: of what was refused, all is kept until nobody can ask again. */
    private void forget(long now) {
        for (Iterator<Asked> i = asked.values().iterator(); i.hasNext();) {
            Asked eldest = i.next();
            if (eldest.end == null || eldest.until > now) {
                return;
            }
            i.remove();
        }
    }

    private void sent(Event e) {
        Asked a = asked.get(e.request());
        if (a != null) {
            a.sentAt = e.at();
        }
    }

    private void askedAgain(Event e) {
        Asked a = asked.remove(e.value());
        if (a != null) {
            if (counts(a.due)) {
                ends[a.type][a.end.ordinal()]--;
            }
            a.end = null;
            asked.put(e.request(), a);
        }
    }

    private void ended(Event e, End end) {
        Asked a = asked.get(e.request());
        if (a == null || a.end != null) {
            return;
        }
        a.end = end;
        if (end != End.REFUSED || !heeds) {
            asked.remove(e.request());
        }
        if (!counts(a.due)) {
            return;
        }
        ends[a.type][end.ordinal()]++;
        record(anyEnd, e.at() - a.due);
        if (end == End.SERVED) {
            record(recorders.get(a.type), e.at() - a.due);
            record(fromSent, e.at() - a.sentAt);
        }
    }

    private static void record(SingleWriterRecorder recorder, long nanos) {
        recorder.recordValue(Math.max(0, nanos) / 1000);
    }

    /** Adds what was recorded since the last call; may be called from one other thread. */
    void take(List<Histogram> into) {
        for (int i = 0; i < into.size(); i++) {
            into.get(i).add(recorders.get(i).getIntervalHistogram());
        }
    }

    /** By class and {@link End}; on the thread's own. */
    long[][] ends() {
        return ends;
    }

    /** Requests that have not ended. */
    long open() {
        return asked.values().stream().filter(a -> a.end == null).count();
    }
}
