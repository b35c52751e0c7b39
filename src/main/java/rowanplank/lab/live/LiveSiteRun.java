package rowanplank.lab.live;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import rowanplank.lab.day.Day;
import rowanplank.lab.run.NodeControl;
import rowanplank.lab.run.NodeText;
import rowanplank.lab.site.DiscoveryAgent;
import rowanplank.lab.site.OpenWorks;
import rowanplank.lab.trace.Event;
import rowanplank.lab.trace.Trace;
import rowanplank.net.Clock;
import rowanplank.net.Ports;
import rowanplank.net.SelectorLoop;

/** A day's site alone, for nodes and clients that others start. Faults of the site come at their time. */
public final class LiveSiteRun {
    /** A node that this process does not run. */
    private record SomeonesNode(DiscoveryAgent agent) implements NodeControl { }

    /** What is counted; told and read on the loop's thread. */
    private static final class Tries implements Trace {
        private long came;
        private long served;
        private long turnedAway;
        private long lost;

        @Override
        public void tell(Event e) {
            switch (e.kind()) {
                case TRY_CAME -> came++;
                case TRY_LOST, TRY_WITHDRAWN -> lost++;
                case TRY_ANSWERED -> {
                    served += e.value() == 200 ? 1 : 0;
                    turnedAway += e.value() == 200 ? 0 : 1;
                }
                default -> { }
            }
        }
    }

    private final Day day;
    private final Clock clock;
    private final Trace also;
    private final Tries tries = new Tries();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final String unplayed;
    private SelectorLoop loop;
    private LiveSite site;

    /** @param also sees all events as well */
    public LiveSiteRun(Day day, Clock clock, Trace also) {
        this.day = Unplayed.BY_THE_SITE_ALONE.without(day);
        this.clock = clock;
        this.also = also;
        unplayed = Unplayed.BY_THE_SITE_ALONE.line(day);
    }

    /** Ends it soon; may be called from any thread. */
    public void stop() {
        stopped.countDown();
    }

    /**
     * Begins.
     *
     * @param ports where it listens
     * @param folder where each node's configuration and environment go: {@code NAME.json} and {@code NAME.env}
     * @return lines for people: where all of it is
     * @throws IOException if a port is in use, or a file can't be written
     */
    public List<String> start(Ports ports, Path folder) throws IOException, InterruptedException {
        LiveClock live = new LiveClock(clock);
        loop = new SelectorLoop(live, e -> System.err.println("unexpected failure: " + e));
        try {
            loop.start();
        } catch (Exception e) {
            throw new IOException("can't start the loop: " + e, e);
        }
        boolean begun = false;
        try {
            List<String> lines = loop.call(() -> build(live, ports, folder));
            begun = true;
            return lines;
        } finally {
            if (!begun) {
                end();
            }
        }
    }

    private List<String> build(LiveClock live, Ports ports, Path folder) throws IOException {
        site = new LiveSite(day, new OpenWorks(day.seed(), day.servers().tryNoise(), day.classes()), loop, live, ports,
                e -> {
                    tries.tell(e);
                    also.tell(e);
                });
        List<String> lines = new ArrayList<>();
        if (unplayed != null) {
            lines.add(unplayed);
        }
        lines.add(String.format("%d page servers; each node has its own address of each", day.servers().count()));
        List<NodeControl> nodes = new ArrayList<>();
        for (int i = 0; i < day.nodes().count(); i++) {
            nodes.add(new SomeonesNode(site.agent(i)));
            lines.add("node " + NodeText.name(i) + ": " + write(i, folder));
        }
        site.faults(nodes);
        return lines;
    }

    private String write(int node, Path folder) throws IOException {
        Path file = folder.resolve(NodeText.name(node) + ".json").toAbsolutePath();
        Files.writeString(file, site.configuration(node, site.agent(node).list()));
        List<String> variables = new ArrayList<>();
        for (Map.Entry<String, String> e : site.environment(node, file.toString()).entrySet()) {
            variables.add(e.getKey() + "=" + e.getValue());
        }
        Files.write(folder.resolve(NodeText.name(node) + ".env"), variables);
        return String.join(" ", variables);
    }

    /** Where a node finds its agent of discovery; after {@link #start}. */
    public InetSocketAddress discovery(int node) {
        return site.agent(node).address();
    }

    /** Waits until the day is over or it is stopped. @return lines for people: what came of it */
    public List<String> await() throws IOException, InterruptedException {
        stopped.await(day.length().toMillis(), TimeUnit.MILLISECONDS);
        try {
            return loop.call(this::figures);
        } finally {
            end();
        }
    }

    private List<String> figures() {
        Histogram late = site.lateness();
        return List.of(String.format(Locale.ROOT, "tries: %d came, %d served, %d turned away or failed, %d lost or "
                        + "withdrawn", tries.came, tries.served, tries.turnedAway, tries.lost),
                String.format(Locale.ROOT, "the site's own timers were late by, ms: half %.3f, 99 %% %.3f, most %.3f",
                        late.getValueAtPercentile(50) / 1e3, late.getValueAtPercentile(99) / 1e3,
                        late.getMaxValue() / 1e3));
    }

    private void end() throws IOException {
        try {
            loop.stop();
        } catch (Exception e) {
            throw new IOException("can't end the loop: " + e, e);
        }
    }

    /** How long it runs. */
    public Duration length() {
        return day.length();
    }
}
