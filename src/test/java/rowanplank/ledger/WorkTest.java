package rowanplank.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import rowanplank.ledger.Command.StaffWord;
import rowanplank.ledger.Result.Kind;

/** The order of work as the log tells it. n1 and n2 stand in the north, n3 and n4 in the south, each a machine of its own. */
class WorkTest {
    private final Ledger ledger = new Ledger(Ledger.Picture.empty());
    private long index;
    private long ids;

    WorkTest() {
        for (int n = 1; n <= 4; n++) {
            apply(new Command.Announce("n" + n, "n" + n, n < 3 ? "north" : "south"));
        }
        terms(1, 1);
    }

    private Result apply(Command command) {
        Result r = ledger.apply(++index, command);
        long away = ledger.work().lines().stream().filter(Work.Line::isAway).count();
        if (command instanceof Command.Turn && r.kind() == Kind.GRANTED) {
            assertTrue(away <= ledger.work().terms().mostOut(), "too many are out");
            assertTrue(ledger.work().away("north") <= ledger.work().terms().mostOutOfHall());
            assertTrue(ledger.work().away("south") <= ledger.work().terms().mostOutOfHall());
        }
        assertEquals(ledger.work().lines().size() - away, ledger.work().plan().size(), "who waits is in the plan, once");
        return r;
    }

    private void terms(int out, int ofHall) {
        apply(new Command.WorkTerms(out, ofHall));
    }

    private Result ask(boolean first, String... machines) {
        return apply(new Command.Staff(++ids, StaffWord.ASK, List.of(machines), "n1", "kernel", first, false, 60_000));
    }

    private Result say(StaffWord what, String machine) {
        return apply(new Command.Staff(++ids, what, List.of(machine), "n1", "", false, false, 0));
    }

    private long turn(String machine) {
        Result r = apply(new Command.Turn(machine));
        return r.kind() == Kind.GRANTED ? r.value() : 0;
    }

    private Result step(String node, long fence, Work.State from) {
        return apply(new Command.Step(node, 7, fence, from));
    }

    private Work.State state(String machine) {
        return ledger.work().line(machine) == null ? null : ledger.work().line(machine).state();
    }

    @Test
    void aMachineGoesOutAndComesBackAndTheNextOneFollows() {
        ask(false, "n1", "n2");
        assertEquals(0, turn("n2"), "n1 is before it");
        long fence = turn("n1");
        assertEquals(0, turn("n2"), "one is out");
        assertEquals(Kind.STALE, step("n1", fence - 1, Work.State.TURN).kind());
        assertEquals(Kind.NOT_HELD, say(StaffWord.DONE, "n1").kind(), "it is not out yet");
        step("n1", fence, Work.State.TURN);
        assertEquals(Work.State.OUT, state("n1"));
        step("n1", fence, Work.State.TURN); // the same once more, late
        say(StaffWord.DONE, "n1");
        assertEquals(0, turn("n2"), "it takes no clients yet");
        step("n1", fence, Work.State.RETURNING);
        assertNull(state("n1"));
        assertTrue(turn("n2") > fence);
    }

    @Test
    void hallsHaveTheirTurnsInTurnAndTheFirstGoBefore() {
        terms(3, 1);
        ask(false, "n1", "n2", "n3");
        ask(true, "n4");
        assertEquals(List.of("n4", "n1", "n3", "n2"), ledger.work().plan());
        assertTrue(turn("n4") > 0);
        assertEquals(0, turn("n3"), "one of the south is out");
        assertTrue(turn("n1") > 0);
        assertEquals(0, turn("n2"));
    }

    @Test
    void nodesOfAMachineGoTogether() {
        apply(new Command.Announce("n2", "n1", "north"));
        ask(false, "n1");
        long fence = turn("n1");
        step("n2", fence, Work.State.TURN);
        assertEquals(Work.State.TURN, state("n1"));
        step("n1", fence, Work.State.TURN);
        assertEquals(Work.State.OUT, state("n1"));
    }

    /** Guards a process that went out, and says so once more, from being taken for the new one. */
    @Test
    void aNewProcessEndsTheWorkWhereThatWasAskedFor() {
        apply(new Command.Staff(++ids, StaffWord.ASK, List.of("n1"), "n1", "", false, true, 60_000));
        long fence = turn("n1");
        step("n1", fence, Work.State.TURN);
        assertEquals(Kind.STALE, step("n1", fence, Work.State.OUT).kind());
        assertEquals(Kind.RELEASED, apply(new Command.Step("n1", 8, fence, Work.State.OUT)).kind());
        assertEquals(Work.State.RETURNING, state("n1"));
    }

    @Test
    void whatStaffAskIsDoneOnceForEachNumberAndRemembered() {
        Command.Staff asked = new Command.Staff(++ids, StaffWord.ASK, List.of("n1"), "n1", "", false, false, 60_000);
        assertEquals(Kind.SET, apply(asked).kind());
        say(StaffWord.CANCEL, "n1");
        ledger.restore(ledger.picture());
        assertEquals(Kind.SET, apply(asked).kind(), "answered as before");
        assertNull(state("n1"), "and not done again");
        assertEquals(new Result(Kind.NOT_HELD, 0, "n9"), ask(false, "n2", "n9"));
        assertNull(state("n2"), "all of them, or none");
    }

    @Test
    void whatIsCancelledWhileItIsAwayComesBackInOrder() {
        ask(false, "n1", "n2");
        long fence = turn("n1");
        say(StaffWord.CANCEL, "n1");
        assertEquals(Work.State.RETURNING, state("n1"));
        assertEquals(Kind.STALE, step("n1", fence, Work.State.TURN).kind());
        assertEquals(0, turn("n2"));
        step("n1", fence, Work.State.RETURNING);
        assertEquals(Work.How.CANCELLED, ledger.work().history().iterator().next().how());
        apply(new Command.Staff(++ids, StaffWord.HOLD, List.of(), "n1", "", false, false, 0));
        assertEquals(0, turn("n2"), "held");
        apply(new Command.Staff(++ids, StaffWord.GO, List.of(), "n1", "", false, false, 0));
        assertTrue(turn("n2") > 0);
    }

    /** Whatever is told, in whichever order: {@link #apply} looks after every entry. */
    @Property(tries = 300, seed = "29")
    void neverTooManyAreOut(@ForAll @Size(min = 1, max = 150) List<@LongRange(min = 0, max = 2000) Long> steps) {
        for (long s : steps) {
            String machine = "n" + (1 + s / 10 % 4);
            Work.Line l = ledger.work().line(machine);
            switch ((int) (s % 10)) {
                case 0, 1 -> ask(s % 3 == 0, machine);
                case 2, 3, 4 -> turn(machine);
                case 5, 6 -> step(machine, l == null ? 0 : l.fence(), Work.State.values()[(int) (s / 40 % 4)]);
                case 7 -> say(StaffWord.values()[1 + (int) (s / 40 % 3)], machine);
                case 8 -> terms((int) (s / 40 % 4), (int) (s / 160 % 3));
                default -> ledger.restore(ledger.picture());
            }
        }
    }
}
