package rowanplank.lab.check;

import java.util.List;

/**
 * {@link Rule#EFFECT} (WIRE, The contract, 2). A try may have run unless it never came whole or was turned away; what
 * came back broken proves nothing. For a class {@code once}: no further try, and no refusal, once a try may have run.
 * For {@code by_key} all servers drop repeats alike, so that a further try and a refusal do no harm; for
 * {@code repeatable} neither does anyway.
 *
 * <p>The truth is asked, not what the node could know: a node that sends again by luck has doubled no effect.
 */
final class Effects implements Check {
    private static final String ONCE = "once";

    private final Figures figures;
    private final Findings findings;

    Effects(Figures figures, Findings findings) {
        this.figures = figures;
        this.findings = findings;
    }

    @Override
    public void settled(Request r) {
        if (!ONCE.equals(figures.effects().get(r.type))) {
            return;
        }
        List<Try> ran = r.tries.stream().filter(t -> t.node == r.node && t.mayHaveRun()).toList();
        long since = ran.stream().mapToLong(t -> t.lastSentAt).min().orElse(Request.NEVER);
        for (Try t : r.tries) {
            if (t.node == r.node && t.whole() && t.lastSentAt > since) {
                findings.broke(Rule.EFFECT, t.lastSentAt, t.server, r, "sent again though it may have run");
            }
        }
        if (r.refused() && !ran.isEmpty()) {
            findings.broke(Rule.EFFECT, r.endedAt(), ran.get(0).server, r, "refused though it may have run");
        }
    }
}
