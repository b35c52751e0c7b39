package rowanplank.lab.site;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import rowanplank.lab.site.ServerModel.Arrival;
import rowanplank.lab.site.ServerModel.Job;
import rowanplank.lab.site.ServerModel.Offer;

/** What is foreseen is what then comes, and foreseeing changes nothing. */
class ForecastTest {
    private static final long MS = 1_000_000;

    @Test
    void whatIsForeseenIsWhatComesIfNothingElseDoes() {
        SplittableRandom random = new SplittableRandom(3);
        int full = 0;
        for (int run = 0; run < 300; run++) {
            ServerModel model = new ServerModel(Kinds.kind(2, 4, 1), 0.8, Kinds.CONNECTIONS, Kinds.RULES, true,
                    random.nextBoolean(), 0);
            long now = 0;
            for (int i = random.nextInt(14); i > 0; i--) {
                now += random.nextInt(5) * MS;
                model.arrive(now, new Counted(random.nextInt(50) * MS), ServerModel.NEVER);
            }
            if (random.nextInt(4) == 0) {
                model.standStill(now, now + 30 * MS);
            }
            long at = now + random.nextInt(4) * MS;
            Offer before = new Offer(at - 1, 20 * MS);
            List<Offer> coming = at > now && random.nextBoolean() ? List.of(before) : List.of();
            long foreseen = model.doneAt(at, 10 * MS, coming);
            coming.forEach(o -> model.arrive(o.at(), new Counted(o.work()), ServerModel.NEVER));
            Counted ours = new Counted(10 * MS);
            boolean taken = model.arrive(at, ours, ServerModel.NEVER) != Arrival.FULL;
            full += taken ? 0 : 1;
            while (taken && !ours.done) {
                now = model.nextChange();
                model.advance(now);
            }
            assertEquals(taken ? now : ServerModel.NEVER, foreseen, "run " + run);
        }
        assertEquals(60, full, 50);
    }

    /** By hand: a server that fell under it would serve nobody. */
    @Test
    void whatWouldMakeAColdServerFallIsNeverDone() {
        ServerModel model = new ServerModel(Kinds.kind(2, 50, 1), 1, Kinds.CONNECTIONS, Kinds.RULES, false, true, 0);
        long most = (long) (Kinds.RULES.fallMultiple() * model.capacity() * Kinds.RULES.fallTime().toNanos());
        assertEquals(ServerModel.NEVER, model.doneAt(1, most + MS, List.of()));
        List<Offer> coming = new ArrayList<>(List.of(new Offer(0, most - MS)));
        assertEquals(ServerModel.NEVER, model.doneAt(1, 2 * MS, coming));
    }

    @Test
    void latencyIsThatOfAsManyInFlightOrTheNearestNumber() {
        LatencyByCrowd latencies = new LatencyByCrowd();
        assertEquals(-1, latencies.median(3));
        for (int i = 1; i <= 100; i++) {
            latencies.served(2, i * MS); // the newest 16: 85 to 100
        }
        latencies.served(9, 300 * MS);
        assertEquals(92 * MS, latencies.median(2));
        assertEquals(92 * MS, latencies.median(5));
        assertEquals(300 * MS, latencies.median(6));
        assertEquals("500;300.000", latencies.text(500));
    }

    private static final class Counted extends Job {
        private boolean done;

        Counted(long work) {
            super(work);
        }

        @Override
        protected void done() {
            done = true;
        }
    }
}
