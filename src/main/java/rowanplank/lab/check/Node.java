package rowanplank.lab.check;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Recent;

/** What was told of one node. Bounds: a record a life, a span a fault, the last events. */
final class Node {
    static final long NEVER = Long.MAX_VALUE;
    /** So long after its core or its process is there again, a node may still be catching up. */
    static final Duration RECOVERY = Duration.ofSeconds(1);
    private static final int RECENT = 16;
    private static final long TIME_OUT = 200_000_000;

    /** From a process's start to its end. */
    static final class Life {
        final long startedAt;
        long toldToStopAt = NEVER;
        long endedAt = NEVER;
        boolean killed;

        Life(long startedAt) {
            this.startedAt = startedAt;
        }

        boolean toldToStop() {
            return toldToStopAt != NEVER;
        }
    }

    final Recent recent = new Recent(RECENT);
    final Spans vanished = new Spans();
    final Spans paused = new Spans();
    final Spans coreShort = new Spans();
    int hall = Event.NONE;
    private long vanishedAt;
    private final List<Life> lives = new ArrayList<>();

    void see(Event e) {
        recent.tell(e);
        switch (e.kind()) {
            case NODE_STARTED -> {
                hall = (int) e.value();
                lives.add(new Life(e.at()));
            }
            case NODE_TOLD_TO_STOP -> life().toldToStopAt = Math.min(life().toldToStopAt, e.at());
            case NODE_ENDED -> end(e.at(), false);
            case NODE_KILLED -> end(e.at(), true);
            case NODE_VANISHED -> {
                vanished.begin(e.at());
                vanishedAt = e.at();
            }
            // What was sent meanwhile comes as late again: time-outs have doubled.
            case NODE_RETURNED -> vanished.end(e.at() + e.at() - vanishedAt + TIME_OUT);
            default -> { }
        }
    }

    private void end(long at, boolean killed) {
        Life life = life();
        if (life.endedAt == NEVER) {
            life.endedAt = at;
            life.killed = killed;
        }
    }

    /** The present one, or the last. */
    Life life() {
        if (lives.isEmpty()) {
            lives.add(new Life(0)); // it was there before anything was told
        }
        return lives.get(lives.size() - 1);
    }

    /** The one in which the node was then, or the last before that. */
    Life lifeAt(long at) {
        Life found = life();
        for (int i = lives.size() - 2; i >= 0 && found.startedAt > at; i--) {
            found = lives.get(i);
        }
        return found;
    }

    /** Why the node may have done nothing, or have been late, between the two times; null if for no reason. */
    Excuse excuse(long from, long to) {
        return vanished.touches(from, to) ? Excuse.NODE_VANISHED
                : paused.touches(from - RECOVERY.toNanos(), to) ? Excuse.NODE_PAUSED
                : coreShort.touches(from - RECOVERY.toNanos(), to) ? Excuse.NODE_SHORT : null;
    }
}
