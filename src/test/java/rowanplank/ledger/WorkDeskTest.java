package rowanplank.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
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
    private final Set<String> dead = new TreeSet<>();
    /** Noon where windows are meant. */
    private Instant wall = Instant.parse("2026-01-01T10:00:00Z");
    private boolean majority = true;
    private long index;
    private long rounds;
    private long ids;
    private Instant now = ZERO;
    private WorkDesk desk;

    @BeforeEach
    void lead() {
        desk = new WorkDesk(new WorkDesk.Settings(0.01, Duration.ofSeconds(1), Duration.ofSeconds(2), new Work.Terms(1, 1),
                new WorkDesk.Bounds(0.9, true, 10, 0.25, new WorkDesk.Places(8, 1, 4), ZoneId.of("+02:00"))), ledger, new WorkDesk.Actions() {
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
                    public boolean lives(String node) {
                        return !dead.contains(node);
                    }

                    @Override
                    public String text() {
                        return "";
                    }

                    @Override
                    public Instant wall() {
                        return wall;
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
        assertTrue(desk.againstIt(now, "n1").contains("n3"));
        assertNull(desk.againstIt(now, "n3"), "it is out anyway");
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

    /** So many requests served and failed, and so many open; all places in use are its. */
    private void serves(String node, long served, long failed, long open) {
        ask(node, new Ask.Poll(node, "north", new Ask.Service(served, 0, failed, open, open, 1)));
    }

    private void askWithin(String window, String... machines) {
        ask("n4", new Ask.Staff(new Command.Staff(++ids, StaffWord.ASK, List.of(machines), "n4", "", false, false, 60_000,
                Window.parse(window))));
    }

    /** From its turn to its end. */
    private void goAndComeBack(String machine) {
        long fence = ledger.work().line(machine).fence();
        step(machine, fence, Work.State.TURN);
        say(StaffWord.DONE, machine);
        step(machine, fence, Work.State.RETURNING);
    }

    private void step(String node, long fence, Work.State from) {
        ask(node, new Ask.Step(fence, from));
    }

    @Test
    void aTurnIsGivenWithinItsWindowAloneAndOthersGoMeanwhile() {
        askWithin("12:30-13:00", "n1", "n2");
        say(StaffWord.ASK, "n3");
        assertEquals(Work.State.TURN, at(3000, "n3"), "it waits for no time of the day");
        assertEquals("its time is 12:30-13:00 +02:00", desk.waits(ledger.work().plan(), "").get("n1"));
        goAndComeBack("n3");
        assertEquals(Work.State.ASKED, at(4000, "n1"));
        assertEquals("the time of none that waits has come", desk.standing());
        wall = Instant.parse("2026-01-01T10:30:00Z");
        assertEquals(Work.State.TURN, at(5000, "n1"));
    }

    /** Guards a machine that is out as its window ends: it is worked on; and one that waits, which must not follow. */
    @Test
    void whatIsOutAsTheWindowEndsStaysOutAndNothingFollows() {
        askWithin("11:00-12:05", "n1", "n2");
        at(3000, "n1");
        step("n1", ledger.work().line("n1").fence(), Work.State.TURN);
        wall = Instant.parse("2026-01-01T10:05:00Z");
        assertEquals(Work.State.OUT, at(4000, "n1"));
        say(StaffWord.DONE, "n1");
        step("n1", ledger.work().line("n1").fence(), Work.State.RETURNING);
        assertNull(at(5000, "n1"));
        assertEquals(Work.State.ASKED, at(6000, "n2"));
        wall = Instant.parse("2026-01-02T09:00:00Z");
        assertEquals(Work.State.TURN, at(7000, "n2"), "the next day it goes on");
    }

    /** Guards what rests on the wall's clock: set back it gives turns again, and nobody's twice; all else runs by another. */
    @Test
    void aClockSetBackTakesNobodyOutTwice() {
        askWithin("11:00-12:05", "n1", "n2");
        at(3000, "n1");
        goAndComeBack("n1");
        wall = Instant.parse("2026-01-01T10:06:00Z");
        assertEquals(Work.State.ASKED, at(4000, "n2"));
        wall = Instant.parse("2025-12-31T09:30:00Z");
        assertNull(at(5000, "n1"));
        assertEquals(Work.State.TURN, at(5100, "n2"));
        long fence = ledger.work().line("n2").fence();
        at(5300, "n2");
        at(64_000, "n2");
        assertEquals(fence, ledger.work().line("n2").fence());
        assertTrue(at(66_000, "n2") == Work.State.TURN && desk.halted(now).contains("longer"), "its longest time is not the wall's");
    }

    @Test
    void itHaltsWhileOneIsDeadAndGoesOnOnceItIsForgotten() {
        dead.add("n3");
        missing.add("n3");
        say(StaffWord.ASK, "n1", "n3");
        assertEquals(Work.State.ASKED, at(3000, "n1"));
        assertTrue(desk.standing().startsWith("n3 is dead"), desk.standing());
        say(StaffWord.SKIP, "n3");
        assertEquals(Work.State.ASKED, at(4000, "n1"), "it counts as out all the same");
        say(StaffWord.FORGET, "n4");
        assertEquals(Result.Kind.HELD, told.get(told.size() - 1).result().kind(), "it lives");
        say(StaffWord.FORGET, "n3");
        assertEquals(Work.State.TURN, at(5000, "n1"));
        step("n1", ledger.work().line("n1").fence(), Work.State.TURN);
        say(StaffWord.ASK, "n2");
        dead.add("n1");
        at(6000, "n1");
        assertEquals("as many as may be are out", desk.standing(), "whoever is out may well be off");
    }

    @Test
    void itHaltsWhileTheRestServesBadlyAndGoesOnByItself() {
        say(StaffWord.ASK, "n1");
        now = ZERO.plusMillis(2500);
        serves("n2", 85, 15, 0);
        assertEquals(Work.State.ASKED, at(3000, "n1"));
        assertTrue(desk.standing().contains("85.0 % of 100 requests"), desk.standing());
        serves("n2", 95, 5, 0);
        assertEquals(Work.State.TURN, at(3200, "n1"));
    }

    /** The load of all, 24 at once and 6 to spare, is what three nodes bear of 10 each; doubled, it is not. */
    @Test
    void itHaltsWhereTheRestCouldNotBearTheLoad() {
        say(StaffWord.ASK, "n1", "n2");
        now = ZERO.plusMillis(2500);
        for (int n = 1; n <= 4; n++) {
            ask("n" + n, new Ask.Poll("n" + n, "north", new Ask.Service(9, 0, 0, 6, 0, 1)));
        }
        assertEquals(Work.State.TURN, at(3000, "n1"));
        goAndComeBack("n1");
        for (int n = 1; n <= 4; n++) {
            ask("n" + n, new Ask.Poll("n" + n, "north", new Ask.Service(9, 0, 0, 12, 0, 1)));
        }
        assertEquals(Work.State.ASKED, at(3500, "n2"));
        assertTrue(desk.standing().contains("48 requests at once, and 3 nodes bear 24"), desk.standing());
        for (int n = 1; n <= 4; n++) {
            ask("n" + n, new Ask.Poll("n" + n, "north", new Ask.Service(9, 0, 0, 2, 2, 1)));
        }
        assertEquals(Work.State.ASKED, at(3700, "n2"));
        assertTrue(desk.standing().contains("8 places at page servers in use of 7"), "what is set aside for n2 is nobody's");
        serves("n4", 9, 0, 0);
        serves("n3", 9, 0, 0);
        assertEquals(Work.State.TURN, at(3900, "n2"));
    }

    /** Guards the next machine against what the last one came back with: the order waits for a person, whoever leads. */
    @Test
    void oneThatCameBackBadlyHaltsTheOrderUntilAPersonHasLooked() {
        say(StaffWord.ASK, "n1", "n2");
        at(3000, "n1");
        long fence = ledger.work().line("n1").fence();
        step("n1", fence, Work.State.TURN);
        say(StaffWord.DONE, "n1");
        serves("n3", 100, 0, 0);
        serves("n1", 20, 20, 0);
        step("n1", fence, Work.State.RETURNING);
        assertNull(at(4000, "n1"), "it serves on, badly");
        assertEquals(Work.State.ASKED, at(5000, "n2"));
        assertTrue(ledger.work().held().startsWith("n1 came back and serves badly: 20 of 40 requests, and the others 100 of 100"));
        desk.onLeadsNoMore();
        desk.onLeads(now);
        assertEquals(Work.State.ASKED, at(8000, "n2"));
        say(StaffWord.GO);
        assertEquals(Work.State.TURN, at(8200, "n2"));
    }

    /** Guards against a fault that is not the machine's: where all serve as badly, it is not judged by that. */
    @Test
    void oneThatCameBackServesNoWorseThanTheOthers() {
        say(StaffWord.ASK, "n1", "n2");
        at(3000, "n1");
        long fence = ledger.work().line("n1").fence();
        step("n1", fence, Work.State.TURN);
        say(StaffWord.DONE, "n1");
        serves("n3", 50, 50, 0);
        serves("n1", 20, 20, 0);
        step("n1", fence, Work.State.RETURNING);
        assertEquals("", ledger.work().held());
    }

    @Test
    void theOnlyOneThatServesStays() {
        missing.addAll(List.of("n2", "n3", "n4"));
        for (String n : List.of("n2", "n3", "n4")) {
            dead.add(n);
            say(StaffWord.FORGET, n);
        }
        say(StaffWord.ASK, "n1");
        assertEquals(Work.State.ASKED, at(3000, "n1"));
        assertEquals("nobody else serves: take n1 out by hand", desk.standing());
    }
}
