package rowanplank.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import rowanplank.lifecycle.Lifecycle.State;

/** Holds the states and what follows from them, by cases and over sequences of events in any order. */
public class LifecycleTest {
    private static final Duration DEADLINE = Duration.ofMillis(1200);

    /** One that serves, for tests of what asks it. */
    public static Lifecycle serving() {
        Site site = new Site(false);
        site.life.onPeers(site.now, true, true);
        site.life.onStart(site.now);
        return site.life;
    }

    /** Carries out what is asked, and keeps the rules that hold in every order of events. */
    private static final class Site implements Lifecycle.Actions {
        final List<String> done = new ArrayList<>();
        final List<Instant> wakes = new ArrayList<>();
        final boolean shared;
        final Lifecycle life;
        Instant now = Instant.EPOCH;
        int open;

        Site(boolean shared) {
            this.shared = shared;
            life = new Lifecycle(new Lifecycle.Settings(DEADLINE, shared), this);
        }

        void pass(int ms) {
            Instant until = now.plusMillis(ms);
            for (Instant next; (next = firstWake()) != null && !next.isAfter(until);) {
                wakes.remove(next);
                now = next.isAfter(now) ? next : now;
                life.onWake(now);
                check();
            }
            now = until;
        }

        private Instant firstWake() {
            return wakes.stream().min(Instant::compareTo).orElse(null);
        }

        void check() {
            State state = life.state();
            assertTrue(count("accept") <= 1 && count("no more") <= count("accept") && count("end") <= 1, done.toString());
            assertFalse(life.isUp(now) && state != State.SERVING);
            assertFalse(life.isReady() && (state != State.SERVING || count("accept") == 0));
            assertFalse(state == State.DRAINING && !life.closesWithAnswers());
            assertFalse(state == State.SERVING && life.closesWithAnswers());
            assertFalse(state == State.SERVING && life.longestRest(now) != null);
        }

        long count(String what) {
            return done.stream().filter(d -> d.startsWith(what)).count();
        }

        @Override
        public void accept() {
            done.add("accept");
        }

        @Override
        public void acceptNoMore(boolean takeWaiting) {
            done.add("no more" + (takeWaiting ? ", takes what waits" : ""));
        }

        @Override
        public void rejectOpen() {
            done.add("reject");
        }

        @Override
        public void end(boolean quiet) {
            done.add(quiet ? "end" : "end with some open");
        }

        @Override
        public void wake(Duration after) {
            wakes.add(now.plus(after));
        }

        @Override
        public int openCount() {
            return open;
        }
    }

    @Test
    void aListenerOfItsOwnIsOpenFromTheStartAndUpOnceDiscoveryHasTold() {
        Site site = new Site(false);
        site.life.onStart(site.now);
        assertEquals(List.of("accept"), site.done);
        site.pass(10_000);
        assertEquals(State.STARTING, site.life.state());
        assertFalse(site.life.isReady());
        site.life.onPeers(site.now, true, true);
        assertTrue(site.life.isUp(site.now) && site.life.isReady());
        site.life.onPeers(site.now, false, true);
        assertFalse(site.life.isUp(site.now), "no peer is left");
        assertTrue(site.life.isReady(), "but clients are taken, and refused");
    }

    @Test
    void withTheListOfItsLastLifeItServesOnceDiscoveryHasBeenSilent() {
        Site site = new Site(true);
        site.life.onPeers(site.now, true, false);
        site.life.onStart(site.now);
        site.pass((int) Lifecycle.PATIENCE.toMillis() - 1);
        assertEquals(List.of(), site.done, "from a shared listener nothing is taken before it can be served");
        site.pass(1);
        assertEquals(List.of("accept"), site.done);
        assertTrue(site.life.isUp(site.now) && site.life.isReady());
    }

    @Test
    void aDrainSaysNoAtOnceAndClosesWhatRestsBetweenTwoTimes() {
        Site site = new Site(false);
        site.life.onPeers(site.now, true, true);
        site.life.onStart(site.now);
        site.pass(5000);
        site.life.onEvacuate(site.now);
        assertFalse(site.life.isUp(site.now));
        assertFalse(site.life.isReady());
        assertTrue(site.life.closesWithAnswers());
        assertNull(site.life.longestRest(site.now), "the front still sends");
        site.pass((int) Lifecycle.DRAIN_KEEPS.toMillis());
        Duration first = site.life.longestRest(site.now);
        site.pass(300);
        assertTrue(site.life.longestRest(site.now).compareTo(first) < 0, "not all in one moment");
        site.pass(60_000);
        assertEquals(Lifecycle.FRESH, site.life.longestRest(site.now));
        assertEquals(List.of("accept"), site.done, "the process runs on, and can be asked");
        site.life.onRejoin(site.now);
        assertTrue(site.life.isUp(site.now) && site.life.isReady());
        assertFalse(site.life.closesWithAnswers());
        assertNull(site.life.longestRest(site.now));
    }

    /** A second call must not begin the drain anew: what rests would stay for longer. */
    @Test
    void aSecondEvacuateChangesNothing() {
        Site site = new Site(false);
        site.life.onPeers(site.now, true, true);
        site.life.onStart(site.now);
        site.life.onEvacuate(site.now);
        Instant since = site.life.since();
        site.pass(1500);
        site.life.onEvacuate(site.now);
        assertEquals(since, site.life.since());
        site.pass(100);
        assertEquals(Lifecycle.FRESH, site.life.longestRest(site.now));
    }

    @Test
    void drainedBeforeItServedItIsUpOnlyAfterTheRejoin() {
        Site site = new Site(true);
        site.life.onStart(site.now);
        site.life.onEvacuate(site.now);
        site.life.onPeers(site.now, true, true);
        assertEquals(State.DRAINING, site.life.state());
        assertFalse(site.life.isUp(site.now));
        assertEquals(List.of("accept"), site.done, "whoever asks is told no");
        site.life.onRejoin(site.now);
        assertTrue(site.life.isUp(site.now) && site.life.isReady());
    }

    /** What waits at a shared listener is the other process's: taken here, it would have to be let go again. */
    @Test
    void withASharedListenerItAcceptsNoMoreAtOnceAndEndsWithItsLastConnection() {
        Site site = new Site(true);
        site.life.onPeers(site.now, true, true);
        site.life.onStart(site.now);
        site.open = 3;
        site.life.onTerminate(site.now);
        assertEquals(List.of("accept", "no more"), site.done);
        assertTrue(site.life.closesWithAnswers());
        assertEquals(Lifecycle.LEAVING_KEEPS, site.life.longestRest(site.now));
        site.pass(700);
        assertEquals(2, site.done.size(), "somebody is connected");
        site.open = 0;
        site.pass(10);
        assertEquals(List.of("accept", "no more", "end"), site.done);
    }

    /** Its clients find no other node before their front has seen this one go. */
    @Test
    void withAListenerOfItsOwnItServesOnWhileClientsAreConnected() {
        Site site = new Site(false);
        site.life.onPeers(site.now, true, true);
        site.life.onStart(site.now);
        site.open = 1;
        site.life.onTerminate(site.now);
        site.pass(1249);
        assertFalse(site.life.closesWithAnswers());
        assertEquals(List.of("accept"), site.done);
        site.pass(11);
        assertTrue(site.life.closesWithAnswers());
        assertEquals("no more, takes what waits", site.done.get(1));
        site.pass(500);
        assertEquals(List.of("reject", "end with some open"), site.done.subList(2, 4));
    }

    /** Events in any order, twice, and in the middle of one another. */
    @Property(tries = 500, seed = "11")
    void everyOrderOfEventsKeepsTheRules(@ForAll boolean shared,
            @ForAll @Size(max = 30) List<@IntRange(max = 6) Integer> events) {
        Site site = new Site(shared);
        boolean started = false;
        boolean told = false;
        boolean drained = false;
        for (int event : events) {
            switch (event) {
                case 0 -> {
                    if (!started) {
                        site.life.onStart(site.now);
                    }
                    started = true;
                }
                case 1 -> site.life.onPeers(site.now, true, true);
                case 2 -> site.life.onPeers(site.now, false, false);
                case 3 -> {
                    site.life.onEvacuate(site.now);
                    drained |= !told;
                }
                case 4 -> {
                    site.life.onRejoin(site.now);
                    drained &= told;
                }
                case 5 -> {
                    site.open = 2;
                    site.life.onTerminate(site.now);
                    told = true;
                }
                default -> site.pass(333);
            }
            site.check();
            assertEquals(told, site.life.state() == State.LEAVING);
            assertEquals(drained && !told, site.life.state() == State.DRAINING);
        }
        if (told) {
            site.pass(5000);
            assertEquals(1, site.count("end"), "whatever came before, it ends before it would be killed");
            assertTrue(site.count("no more") == site.count("accept"));
        }
    }
}
