package rowanplank.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rowanplank.ledger.Ask.Answer;
import rowanplank.ledger.Command.StaffWord;

/** The leader's side of the order of work, of four machines in one hall, one out at a time; what is proposed is applied at once. */
class WorkDeskTest {
    private static final Instant ZERO = Instant.parse("2026-01-01T00:00:00Z");

    private final Ledger ledger = new Ledger(Ledger.Picture.empty());
    private final List<Answer> told = new ArrayList<>();
    private final ArrayDeque<Runnable> entries = new ArrayDeque<>();
    private final Set<String> missing = new TreeSet<>();
    private boolean majority = true;
    private long index;
    private long rounds;
    private long ids;
    private Instant now = ZERO;
    private WorkDesk desk;

    @BeforeEach
    void lead() {
        desk = new WorkDesk(new WorkDesk.Settings(0.01, Duration.ofSeconds(1), Duration.ofSeconds(2), new Work.Terms(1, 1)),
                ledger, new WorkDesk.Actions() {
                    @Override
                    public boolean isKnown(Command command) {
                        return true;
                    }

                    @Override
                    public long propose(Command command) {
                        long at = ++index;
                        entries.add(() -> desk.onApplied(now, at, command, ledger.apply(at, command)));
                        return at;
                    }

                    @Override
                    public long confirm() {
                        return ++rounds;
                    }

                    @Override
                    public void answer(Ask ask, Answer answer) {
                        told.add(answer);
                    }

                    @Override
                    public boolean serves(String node) {
                        return !missing.contains(node);
                    }

                    @Override
                    public boolean hasMajorityWithout(Set<String> nodes) {
                        return majority;
                    }
                });
        desk.onLeads(now);
        for (int n = 1; n <= 4; n++) {
            poll("n" + n);
        }
    }

    private void poll(String node) {
        ask(node, new Ask.Poll(node, "north"));
    }

    private void ask(String node, Ask.What what) {
        desk.onAsk(now, new Ask(node, 7, 0, 1, 1, what));
        while (!entries.isEmpty()) {
            entries.poll().run();
        }
        desk.onConfirmed(rounds);
    }

    private void say(StaffWord what, String... machines) {
        ask("n4", new Ask.Staff(new Command.Staff(++ids, what, List.of(machines), "n4", "", false, false, 60_000)));
    }

    private Work.State at(long ms, String machine) {
        now = ZERO.plusMillis(ms);
        desk.onTime(now);
        while (!entries.isEmpty()) {
            entries.poll().run();
        }
        Work.Line l = ledger.work().line(machine);
        return l == null ? null : l.state();
    }

    @Test
    void aNewLeaderLooksWhoIsThereBeforeItGivesATurn() {
        say(StaffWord.ASK, "n1", "n2");
        assertEquals(Work.State.ASKED, at(1900, "n1"));
        assertEquals(Work.State.TURN, at(2100, "n1"));
        assertEquals(Work.State.ASKED, at(4000, "n2"));
    }

    @Test
    void whoeverDoesNotServeCountsAsOut() {
        missing.add("n3");
        say(StaffWord.ASK, "n1", "n3");
        assertEquals(Work.State.ASKED, at(3000, "n1"));
        assertTrue(desk.againstIt("n1").contains("n3"));
        assertNull(desk.againstIt("n3"), "it is out anyway");
        missing.clear();
        majority = false;
        assertEquals(Work.State.ASKED, at(4000, "n1"));
        majority = true;
        assertEquals(Work.State.TURN, at(5000, "n1"));
    }

    @Test
    void itHaltsWhereAMachineIsAwayForTooLong() {
        ask("n4", new Ask.Staff(new Command.Staff(++ids, StaffWord.ASK, List.of("n1"), "n4", "", false, false, 10_000)));
        assertEquals(Work.State.TURN, at(2100, "n1"));
        at(2300, "n1");
        assertEquals("as many as may be are out", desk.halted(ZERO.plusMillis(9000)));
        at(9000, "n1");
        assertTrue(desk.halted(ZERO.plusMillis(13_000)).contains("longer"));
    }

    /** Guards a node that has just been told of its turn, and may begin to drain for a moment yet. */
    @Test
    void aSkippedTurnIsStruckOutOnceNoNodeCanActOnItAnyMore() {
        say(StaffWord.ASK, "n1", "n2");
        at(2100, "n1");
        now = ZERO.plusMillis(5000);
        poll("n1");
        say(StaffWord.SKIP, "n1");
        told.clear();
        poll("n1");
        assertTrue(told.isEmpty(), "it is told nothing of its turn any more");
        assertEquals(Work.State.TURN, at(6019, "n1"));
        assertNull(at(6200, "n1"));
        assertEquals(Work.State.TURN, at(6400, "n2"));
    }
}
