package rowanplank.lab.check;

import java.util.LinkedHashMap;
import java.util.Map;
import rowanplank.lab.trace.Event.Kind;
import rowanplank.lab.trace.Event;

/**
 * {@link Rule#NODE_HEALTH}: a node's code never throws where nothing was foreseen; its process ends only when it was
 * told to stop or is killed; and when all is at rest it holds no more than {@link #MOST_HELD} says.
 */
final class NodeHealth implements Check {
    /** What a node may hold at the day's end; of what is not named here, nothing. */
    private static final Map<String, Long> MOST_HELD = mostHeld();

    private final Figures figures;
    private final Picture picture;
    private final Findings findings;

    NodeHealth(Figures figures, Picture picture, Findings findings) {
        this.figures = figures;
        this.picture = picture;
        this.findings = findings;
    }

    private static Map<String, Long> mostHeld() {
        Map<String, Long> most = new LinkedHashMap<>();
        most.put("requests", 0L);
        most.put("tries", 0L);
        most.put("bytes", 0L);
        return most;
    }

    @Override
    public void see(Event e, Request request) {
        switch (e.kind()) {
            case NODE_BROKE -> findings.broke(Rule.NODE_HEALTH, e.at(), e.node(), Event.NONE, "it threw: " + e.text());
            case NODE_ENDED -> {
                if (!picture.node(e.node()).life().toldToStop()) {
                    findings.broke(Rule.NODE_HEALTH, e.at(), e.node(), Event.NONE,
                            "its process ended by itself with status " + e.value());
                }
            }
            case NODE_HELD -> held(e);
            default -> { }
        }
    }

    private void held(Event e) {
        long most = e.text().equals("connections") ? figures.sockets() : MOST_HELD.getOrDefault(e.text(), 0L);
        if (e.value() > most) {
            findings.broke(Rule.NODE_HEALTH, e.at(), e.node(), Event.NONE,
                    "it holds " + e.value() + " " + e.text() + " when all is at rest; at most " + most + " are foreseen");
        }
    }
}
