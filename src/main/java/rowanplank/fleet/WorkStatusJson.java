package rowanplank.fleet;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import rowanplank.ledger.Work;
import rowanplank.ledger.WorkHolder;

/** Formats the state of the maintenance plan as JSON for operators. */
final class WorkStatusJson {
    private WorkStatusJson() { }

    private static String lowerCaseName(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    /**
     * The plan as a voter knows it.
     *
     * @param halted why no machine is taken out now; empty if nothing prevents it or it is not known
     * @param waits for each waiting machine, the reason why it waits
     */
    static JsonObject status(Work work, String halted, Map<String, String> waits) {
        JsonArray lines = new JsonArray();
        List<Work.Line> inOrder = work.lines().stream().sorted(Comparator.comparing(Work.Line::asked)
                .thenComparing(Work.Line::machine)).toList();
        for (Work.Line l : inOrder) {
            lines.add(new JsonObject().add("machine", l.machine()).add("hall", work.hallOf(l.machine()))
                    .add("state", lowerCaseName(l.state())).add("fence", l.fence()).add("asked", l.asked())
                    .add("by", l.by())
                    .add("why", l.why()).add("first", l.first()).add("until", l.restart() ? "restart" : "word")
                    .add("longest_ms", l.longestMs()).add("window", l.window() == null ? "" : l.window().toString())
                    .add("waits", waits.getOrDefault(l.machine(), "")));
        }
        JsonArray machines = new JsonArray();
        work.places().stream().map(Work.Place::machine).distinct().sorted().forEach(machines::add);
        JsonArray plan = new JsonArray();
        work.plan().forEach(plan::add);
        JsonArray history = new JsonArray();
        work.history().forEach(h -> history.add(new JsonObject().add("machine", h.machine())
                .add("how", lowerCaseName(h.how())).add("fence", h.fence()).add("asked", h.asked())));
        return new JsonObject().add("most_out", work.terms().mostOut())
                .add("most_out_hall", work.terms().mostOutOfHall())
                .add("held", work.held()).add("halted", halted).add("lines", lines).add("plan", plan)
                .add("machines", machines)
                .add("history", history);
    }

    /** The waiting machines in order, each with the reason why it waits. */
    static JsonArray plan(Map<String, String> waits) {
        JsonArray plan = new JsonArray();
        waits.forEach((machine, why) -> plan.add(new JsonObject().add("machine", machine).add("waits", why)));
        return plan;
    }

    /** The state of this node's own machine. */
    static JsonObject own(String machine, WorkHolder holder) {
        Work.Line l = holder.line();
        return new JsonObject().add("machine", machine).add("state", !holder.isKnown() ? "unknown"
                : l == null ? "none" : lowerCaseName(l.state())).add("fence", l == null ? 0 : l.fence())
                .add("halted", holder.standing());
    }
}
