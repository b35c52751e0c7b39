package rowanplank.lab.trial;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.util.List;
import java.util.Locale;
import rowanplank.lab.trial.judge.Event;
import rowanplank.lab.trial.judge.Event.Kind;
import rowanplank.lab.trial.judge.Finding;

/**
 * What a trial showed.
 *
 * @param figures of what it is about
 * @param datagrams between nodes, in all
 * @param processorSeconds of all nodes together, with their starts; -1 in virtual time
 * @param log what the nodes wrote, where it is not in files
 */
public record TrialResult(TrialPlan plan, List<Event> history, List<Finding> findings, int lateActs, Figures figures,
        long datagrams, long bytes, double seconds, double processorSeconds,
        List<String> log) {
    /** @param line without its end */
    public record Figures(String line, JsonObject json) { }

    public TrialResult {
        log = List.copyOf(log);
        history = List.copyOf(history);
        findings = List.copyOf(findings);
    }

    public long count(Kind kind) {
        return history.stream().filter(e -> e.kind() == kind).count();
    }

    private double perNodeAndSecond(long count) {
        return count / Math.max(seconds, 1e-3) / plan.nodes();
    }

    /** Each time without a holder at a takeover, in ms; none where the trial is not about leases. */
    public List<Long> gapsMs() {
        return figures.json().get(LeaseSubject.GAPS) == null ? List.of()
                : figures.json().get(LeaseSubject.GAPS).asArray().values().stream().map(JsonValue::asLong).toList();
    }

    public String text() {
        StringBuilder text = new StringBuilder();
        findings.forEach(f -> text.append(f.text()));
        text.append(String.format(Locale.ROOT, "%d nodes, %d of them voters, seed %d, %.1f s: %d acts, "
                + "%d late acts after long stalls, %d faults%n", plan.nodes(), plan.voters(), plan.seed(), seconds,
                count(Kind.BEGIN), lateActs, faults()));
        text.append(figures.line()).append('\n');
        text.append(String.format(Locale.ROOT, "between nodes: %.1f datagrams, %.0f bytes a node and second%n",
                perNodeAndSecond(datagrams), perNodeAndSecond(bytes)));
        if (processorSeconds >= 0) {
            text.append(String.format(Locale.ROOT, "processor time: %.2f %% of a core a node%n",
                    100 * processorSeconds / Math.max(seconds, 1e-3) / plan.nodes()));
        }
        return text.append(findings.isEmpty() ? "all rules kept\n" : findings.size() + " breaches\n").toString();
    }

    private long faults() {
        return count(Kind.FAULT) + count(Kind.KILLED) + count(Kind.STALLED) + count(Kind.SPOILT);
    }

    public JsonObject json() {
        JsonArray broken = new JsonArray();
        findings.forEach(f -> broken.add(new JsonObject().add("rule", f.rule()).add("what", f.what())));
        JsonObject o = new JsonObject().add("kind", plan.kind().toString())
                .add("nodes", plan.nodes()).add("voters", plan.voters()).add("seed", plan.seed())
                .add("seconds", seconds).add("acts", count(Kind.BEGIN))
                .add("late_acts", lateActs).add("faults", faults())
                .add("datagrams_node_s", perNodeAndSecond(datagrams)).add("bytes_node_s", perNodeAndSecond(bytes))
                .add("core_share_node", processorSeconds < 0 ? -1 : processorSeconds / seconds / plan.nodes())
                .add("broken", broken);
        figures.json().forEach(f -> o.add(f.getName(), f.getValue()));
        return o;
    }
}
