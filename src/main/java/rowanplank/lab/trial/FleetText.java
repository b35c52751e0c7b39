package rowanplank.lab.trial;

import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;
import rowanplank.config.FleetConfig;

/** What a trial's nodes wish, as it stands in an operator's file. */
final class FleetText {
    private final StringBuilder text = new StringBuilder();

    private FleetText() { }

    static String of(Subject.Wishes wishes) {
        FleetText t = new FleetText();
        wishes.leases().forEach(l -> t.head("lease").put("name", l.name()).put("length", l.length()));
        wishes.tasks().forEach(t::task);
        t.sharing(wishes.sharing());
        t.order(wishes.order());
        return t.text.toString();
    }

    private void sharing(FleetConfig.Sharing sharing) {
        if (sharing.budgets().isEmpty() && sharing.places() == null) {
            return;
        }
        text.append("[fleet.budgets]\n");
        put("part", sharing.part());
        if (sharing.places() != null) {
            bare("places", sharing.places().whole()).bare("places_fixed", sharing.places().fixed());
            bare("nodes", sharing.places().nodes()).put("linger", sharing.places().linger());
            put("longest_try", sharing.places().longest());
        }
        for (FleetConfig.Budget b : sharing.budgets()) {
            head("budget").put("name", b.name()).put("kind", b.rate() ? "rate" : "count").bare("whole", b.whole());
            bare("fixed", b.fixed()).bare("nodes", b.nodes());
            if (b.rate()) {
                bare("burst", b.burst());
            }
        }
        for (FleetConfig.Worker w : sharing.workers()) {
            head("worker").put("name", w.name()).put("budget", w.budget()).bare("copies", w.copies()).put("pause", w.pause())
                    .put("longest", w.longest()).put("allowance", w.allowance()).put("command", w.command());
        }
    }

    private void order(FleetConfig.Order order) {
        if (order != null) {
            text.append("[fleet.work]\n");
            put("machine", order.machine());
            if (!order.hall().isEmpty()) {
                put("hall", order.hall());
            }
            bare("most_out", order.mostOut()).bare("most_out_hall", order.mostOutOfHall()).put("settle", order.settle());
            put("alone", order.servesAlone() ? "serve" : "stay-out").put("alone_after", order.aloneAfter());
            bare("halt_on_dead", order.halts().dead());
        }
    }

    private void task(FleetConfig.Task task) {
        head("task").put("name", task.name()).put("lease", task.lease()).put(task.once() ? "once_in" : "every", task.every())
                .put("longest", task.longest()).put("allowance", task.allowance()).put("command", task.command());
    }

    private FleetText head(String kind) {
        text.append("[[").append(kind).append("]]\n");
        return this;
    }

    private FleetText bare(String key, Object value) {
        text.append(key).append(" = ").append(value).append('\n');
        return this;
    }

    private static String quoted(String word) {
        return '"' + word.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    private FleetText put(String key, String value) {
        return bare(key, quoted(value));
    }

    private FleetText put(String key, Duration value) {
        return put(key, value.toMillis() + "ms");
    }

    private FleetText put(String key, List<String> value) {
        return bare(key, value.stream().map(FleetText::quoted).collect(Collectors.joining(", ", "[", "]")));
    }
}
