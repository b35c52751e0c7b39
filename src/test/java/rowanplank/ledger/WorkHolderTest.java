package rowanplank.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import rowanplank.ledger.Ask.Answer;
import rowanplank.ledger.Result.Kind;
import rowanplank.ledger.Work.State;

/** A node's side of the order of work: it is process 5, asks each 400 ms, and acts on what is younger than 1,000 ms. */
class WorkHolderTest {
    private static final Instant ZERO = Instant.parse("2026-01-01T00:00:00Z");

    private final List<Ask> asked = new ArrayList<>();
    private boolean drains;
    private boolean empty;
    private WorkHolder holder = holder(false);

    private WorkHolder holder(boolean servesAlone) {
        return new WorkHolder(new WorkHolder.Settings("n1", 5, "n1", "north", List.of("n1", "n2", "n3"), Duration.ofMillis(400),
                Duration.ofSeconds(1), Duration.ofSeconds(2), servesAlone, Duration.ofSeconds(30)), ZERO, new WorkHolder.Actions() {
                    @Override
                    public void ask(String voter, Ask ask) {
                        asked.add(ask);
                    }

                    @Override
                    public void drain() {
                        drains = true;
                    }

                    @Override
                    public void rejoin() {
                        drains = false;
                    }

                    @Override
                    public boolean isEmpty() {
                        return empty;
                    }

                    @Override
                    public boolean isReady() {
                        return !drains;
                    }

                    @Override
                    public Ask.Service service() {
                        return Ask.Service.NONE;
                    }
                });
    }

    private static Instant at(long ms) {
        return ZERO.plusMillis(ms);
    }

    private static Work.Line line(State state, boolean restart, Map<String, Long> said) {
        return new Work.Line("n1", state, 9, "n2", "", false, restart, 60_000, 20, said, false);
    }

    /** Asks at one time, and is answered at another. */
    private void hear(long asking, long answering, Work.Line line) {
        holder.onTime(at(asking));
        Ask last = asked.get(asked.size() - 1);
        holder.onAnswer(at(answering), new Answer(5, last.number(), Result.of(Kind.SET), line));
    }

    private boolean saidStep() {
        return asked.get(asked.size() - 1).what() instanceof Ask.Step;
    }

    @Test
    void aProcessTakesNoClientsUntilItHasHeard() {
        assertTrue(drains);
        hear(0, 20, null);
        assertFalse(drains);
        holder = holder(false);
        hear(0, 20, line(State.OUT, false, Map.of("n1", 4L)));
        assertTrue(drains, "its machine is out");
        assertFalse(saidStep(), "a person's word ends it");
    }

    /** Guards a node that stood still: what it was told then may not hold any more. */
    @Test
    void whatIsTooOldIsNotActedOn() {
        hear(0, 20, null);
        hear(500, 1500, line(State.TURN, false, Map.of()));
        assertFalse(drains);
        hear(2000, 2999, line(State.TURN, false, Map.of()));
        assertTrue(drains);
    }

    @Test
    void itSaysThatItIsOutOnceNothingIsOpenAndBackOnceItHasBeenReadyForAWhile() {
        hear(0, 20, null);
        hear(500, 520, line(State.TURN, false, Map.of()));
        assertFalse(saidStep());
        for (int ms = 700; ms < 2300; ms += 150) {
            hear(ms, ms + 20, line(State.TURN, false, Map.of()));
            assertFalse(saidStep(), "a client is there");
        }
        empty = true;
        hear(2500, 2520, line(State.TURN, false, Map.of()));
        assertEquals(new Ask.Step(20, State.TURN), asked.get(asked.size() - 1).what());
        hear(3000, 3020, line(State.RETURNING, false, Map.of()));
        assertFalse(drains);
        assertFalse(saidStep());
        hear(4000, 4020, line(State.RETURNING, false, Map.of()));
        assertFalse(saidStep());
        hear(6100, 6120, line(State.RETURNING, false, Map.of()));
        assertTrue(saidStep());
    }

    /** Guards requests that are on their way: fronts send on until they have asked and heard that it takes no clients. */
    @Test
    void aNodeWithoutAnyClientSaysThatItIsOutOnlyAfterAWhile() {
        hear(0, 20, null);
        empty = true;
        for (int ms = 500; ms < 2000; ms += 150) {
            hear(ms, ms + 20, line(State.TURN, false, Map.of()));
            assertFalse(saidStep(), "after " + (ms - 500) + " ms");
        }
        hear(2000, 2020, line(State.TURN, false, Map.of()));
        assertTrue(saidStep());
    }

    @Test
    void onlyAnotherProcessThanTheOneThatWentOutEndsTheWork() {
        hear(0, 20, line(State.OUT, true, Map.of("n1", 5L)));
        assertFalse(saidStep());
        hear(500, 520, line(State.OUT, true, Map.of("n1", 4L)));
        assertTrue(saidStep());
        hear(1000, 1020, line(State.OUT, true, Map.of("n1", -5L, "n9", 3L)));
        assertFalse(saidStep(), "it has said so, and another node of the machine has not");
    }

    @Test
    void aloneItStaysOutUnlessTheOperatorHasChosenOtherwise() {
        holder.onTime(at(31_000));
        assertTrue(drains);
        holder = holder(true);
        holder.onTime(at(29_000));
        assertTrue(drains);
        holder.onTime(at(30_000));
        assertFalse(drains);
    }

    private void hear(long asking, long answering, long incarnation, Result result) {
        holder.onTime(at(asking));
        Ask last = asked.get(asked.size() - 1);
        holder.onAnswer(at(answering), new Answer(incarnation, last.number(), result));
    }

    /** Guards a machine that is out: what does not tell of its line does not send it back, whoever says it. */
    @Test
    void nothingButItsLineSendsAMachineBackThatIsOut() {
        hear(0, 20, line(State.OUT, false, Map.of("n1", 4L)));
        long time = 500;
        for (Kind kind : Kind.values()) {
            if (kind != Kind.SET) {
                hear(time, time + 20, 5, Result.of(kind));
                assertTrue(drains, kind + " is no word of its line");
            }
            time += 500;
        }
        hear(time, time + 20, null);
        assertFalse(drains);
    }

    /** Guards a process that comes up: only a leader that says so tells it that there is no order of work. */
    @Test
    void onlyWhoeverHasNoPartInTheOrderServesWithoutALine() {
        for (Kind kind : Kind.values()) {
            holder = holder(false);
            hear(0, 1000, 5, Result.of(kind));
            assertTrue(drains, kind + ", too old");
            hear(1500, 1520, 4, Result.of(kind));
            assertTrue(drains, kind + ", to another process of its name");
            hear(2500, 2520, 5, Result.of(kind));
            assertEquals(kind != Kind.TOO_NEW && kind != Kind.FULL && kind != Kind.SET, drains, kind.toString());
        }
    }
}
