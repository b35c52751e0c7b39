package rowanplank.lab.trial;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.eclipsesource.json.JsonObject;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rowanplank.config.FleetConfig;
import rowanplank.lab.trial.WorkPlay.Seat;
import rowanplank.ledger.Command;
import rowanplank.ledger.Command.StaffWord;
import rowanplank.ledger.Result;

/** The hard cases of the order of work, by whole nodes in virtual time; one machine out at a time, where nothing else is said. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class WorkCasesTest {
    private static final Duration LONG = Duration.ofSeconds(60);

    private static WorkPlay play(int nodes, int voters, int halls) {
        return new WorkPlay(new WorkPlay.Plan(nodes, voters, halls, 1, 1, Duration.ofSeconds(2), Duration.ofSeconds(1),
                FleetConfig.Halts.USUAL, 3));
    }

    private final WorkPlay play = play(6, 5, 3);
    private final Seat n1 = play.seat("n1");
    private final Seat n2 = play.seat("n2");
    private final Seat n6 = play.seat("n6");

    private void becomes(String machine, String state) {
        assertNotNull(play.until(LONG, p -> p.state(machine).equals(state)), machine + " is " + play.state(machine) + ": " + play.standing());
    }

    private void stays(String machine, String state) {
        for (int i = 0; i < 20; i++) {
            play.pass(Duration.ofMillis(500));
            assertEquals(state, play.state(machine), play.standing());
        }
    }

    private void ask(String... machines) {
        assertEquals(Result.Kind.SET, play.say(n6, StaffWord.ASK, false, machines).kind());
    }

    @ParameterizedTest
    @CsvSource({"3, 3, 1", "6, 5, 3"})
    void allNodesAskedAtOnceAreStartedAnewOneByOne(int nodes, int voters, int halls) {
        WorkPlay all = play(nodes, voters, halls);
        WorkPlay.Rolled rolled = all.roll(Duration.ofMinutes(5));
        assertEquals(nodes, rolled.ended(), all.work().toString());
        assertEquals(1, rolled.most());
        assertTrue(all.seats().stream().allMatch(Seat::isReady));
    }

    @Test
    void theOnlyNodeOfAHallGoesAndNoneOfAnotherWithIt() {
        WorkPlay four = play(4, 3, 4);
        four.say(four.seat("n1"), StaffWord.ASK, false, "n4", "n2");
        assertNotNull(four.until(LONG, p -> p.state("n2").equals("out")));
        assertEquals("asked", four.state("n4"));
        assertTrue(four.seat("n4").isReady());
    }

    /** A fleet that has nobody else for its clients, or no majority without its voter, keeps them and says so. */
    @Test
    void fleetsOfOneAndTwoKeepWhatTheyCantDoWithout() {
        WorkPlay one = play(1, 1, 1);
        one.say(one.seat("n1"), StaffWord.ASK, false, "n1");
        one.pass(Duration.ofSeconds(10));
        assertEquals("asked", one.state("n1"));
        assertEquals("without n1 too few voters would be left", one.standing());
        WorkPlay two = play(2, 1, 1);
        two.say(two.seat("n2"), StaffWord.ASK, false, "n2", "n1");
        assertNotNull(two.until(LONG, p -> p.standing().equals("without n1 too few voters would be left")));
        two.say(two.seat("n2"), StaffWord.CANCEL, false, "n1");
        assertNotNull(two.until(LONG, p -> p.state("n2").equals("out")));
        two.say(two.seat("n2"), StaffWord.DONE, false, "n2");
        assertNotNull(two.until(LONG, p -> p.state("n2").isEmpty()));
    }

    @Test
    void aMachineThatIsGoneForGoodHaltsTheOrderUntilItIsForgotten() {
        ask("n2", "n6");
        becomes("n2", "out");
        n6.kill();
        play.pass(Duration.ofSeconds(15));
        play.say(n1, StaffWord.DONE, false, "n2");
        becomes("n2", "");
        stays("n6", "asked");
        assertTrue(play.standing().startsWith("n6 is dead"), play.standing());
        play.say(n1, StaffWord.ASK, false, "n1");
        play.say(n1, StaffWord.SKIP, false, "n6");
        stays("n1", "asked");
        assertEquals(Result.Kind.SET, play.say(n1, StaffWord.FORGET, false, "n6").kind());
        becomes("n1", "out");
    }

    @Test
    void cancelledWhileItDrainsItComesBackAndWasNeverOut() {
        n1.slowClient = true;
        ask("n1", "n2");
        becomes("n1", "turn");
        play.pass(Duration.ofSeconds(3));
        assertFalse(n1.isReady());
        play.say(n2, StaffWord.CANCEL, false, "n1");
        becomes("n1", "");
        assertTrue(n1.isReady());
        becomes("n2", "out");
    }

    @Test
    void oneThatDrainsForEverHaltsTheOrderOnceItIsAwayForTooLong() {
        n1.slowClient = true;
        play.say(n6, new Command.Staff(91, StaffWord.ASK, List.of("n1", "n2"), "n6", "", false, false, 20_000));
        becomes("n1", "turn");
        assertNotNull(play.until(LONG, p -> p.standing().equals("as many as may be are out")));
        assertNotNull(play.until(LONG, p -> p.standing().startsWith("n1 is away for longer")));
        assertEquals("asked", play.state("n2"));
        n1.slowClient = false;
        becomes("n1", "out");
        play.say(n2, StaffWord.DONE, false, "n1");
        becomes("n2", "out");
    }

    /** Guards two hands on one node: what staff drain by hand, no turn's end sends back; and it counts as out. */
    @Test
    void drainedByHandInTheMiddleItIsNotBack() {
        ask("n1", "n2");
        becomes("n1", "out");
        n1.evacuated = true;
        play.say(n2, StaffWord.DONE, false, "n1");
        stays("n1", "returning");
        assertEquals("asked", play.state("n2"));
        n1.evacuated = false;
        becomes("n1", "");
        n6.evacuated = true;
        play.say(n2, StaffWord.CANCEL, false, "n2");
        play.pass(Duration.ofSeconds(5));
        ask("n2");
        stays("n2", "asked");
        assertEquals("n6 does not serve", play.standing());
        n6.evacuated = false;
        becomes("n2", "out");
    }

    @Test
    void aProcessEndedInPlaceOfDoneIsStillOutWhenItComesBack() {
        ask("n1", "n2");
        becomes("n1", "out");
        n1.restart();
        stays("n1", "out");
        assertFalse(n1.isReady());
        assertEquals("asked", play.state("n2"));
        play.say(n2, StaffWord.DONE, false, "n1");
        becomes("n1", "");
        assertTrue(n1.isReady());
    }

    /** As where the new version can't read its file: it never comes up, and nobody else is given to the same. */
    @Test
    void aProcessThatDoesNotComeUpAgainKeepsTheOthersFromFollowing() {
        play.say(n6, new Command.Staff(92, StaffWord.ASK, List.of("n1", "n2"), "n6", "", false, true, 15_000));
        becomes("n1", "out");
        VirtualFleet.Node was = n1.node;
        n1.kill();
        stays("n2", "asked");
        assertNotNull(play.until(LONG, p -> p.standing().startsWith("n1 is away for longer")));
        n1.start(was);
        becomes("n2", "out");
    }

    @Test
    void aHallThatLosesItsPowerWhileOneOfAnotherIsOutHaltsAllTurns() {
        ask("n1", "n3", "n6");
        becomes("n1", "out");
        Seat n5 = play.seat("n5");
        List<VirtualFleet.Node> were = List.of(n2.node, n5.node);
        n2.kill();
        n5.kill();
        play.pass(Duration.ofSeconds(15));
        Seat n4 = play.seat("n4");
        play.say(n4, StaffWord.DONE, false, "n1");
        becomes("n1", "");
        stays("n3", "asked");
        assertTrue(play.standing().endsWith("is dead: start it, or say forget where it is gone for good"), play.standing());
        n2.start(were.get(0));
        n5.start(were.get(1));
        becomes("n3", "out");
    }

    /** Against what is assumed of disks, at one voter: what the majority knows of who is out stands. */
    @Test
    void aVoterWhoseLedgerWasPutBackSendsNobodyBack() {
        VirtualFleet.Node n3 = play.seat("n3").node;
        byte[] before = n3.state();
        ask("n1", "n2");
        becomes("n1", "out");
        play.seat("n3").kill();
        play.pass(Duration.ofSeconds(1));
        play.seat("n3").node = play.fleet().start(n3.config(), before, play.seat("n3"));
        for (int i = 0; i < 20; i++) {
            play.pass(Duration.ofMillis(500));
            assertFalse(n1.isReady());
            assertTrue(play.leader() == null || play.state("n1").equals("out") && play.state("n2").equals("asked"));
        }
        play.say(n2, StaffWord.DONE, false, "n1");
        becomes("n1", "");
    }

    /** Guards what each half of a fleet does alone: the smaller one nothing, and the larger one not more than it may. */
    @Test
    void aMinorityStartsNothing() {
        Seat leader = play.leader();
        play.fleet().cut((from, to) -> from.equals(leader.node.config().listen()) != to.equals(leader.node.config().listen()));
        Seat other = leader == n1 ? n2 : n1;
        assertNull(play.say(leader, StaffWord.ASK, false, other.name), "nobody has decided it");
        play.pass(Duration.ofSeconds(10));
        assertTrue(other.isReady());
        assertEquals(0, leader.node.status().get("work").asObject().get("lines").asArray().size());
        assertTrue(leader.isReady(), "and it stays as it is");
    }

    /** One call under one number is done once, wherever it is asked again; and each voter tells the same order. */
    @Test
    void whatIsAskedTwiceIsDoneOnceAndAllTellTheSameOrder() {
        Command.Staff words = new Command.Staff(93, StaffWord.ASK, List.of("n4", "n2", "n3"), "n6", "", false, false, 60_000);
        Result first = play.say(n6, words);
        play.pass(Duration.ofSeconds(3));
        assertEquals(first, play.say(n2, words));
        play.say(n2, StaffWord.CANCEL, false, "n2");
        assertEquals(first, play.say(n1, words));
        play.pass(Duration.ofSeconds(1));
        assertEquals(1, play.seats().stream().filter(s -> s.node.status().get("work") != null)
                .map(s -> s.node.status().get("work").asObject().get("lines").toString()).distinct().count());
    }

    /** Guards staff at the door of whichever node: each tells what the leader knows, in pieces, whole. */
    @Test
    void eachNodeTellsStaffWhatTheLeaderKnows() {
        play.say(n6, new Command.Staff(94, StaffWord.ASK, List.of("n1", "n2", "n3", "n4", "n5", "n6"), "n6",
                "\u00fcber Nacht \u20ac".repeat(20), false, false, 60_000));
        becomes("n1", "out");
        JsonObject[] told = new JsonObject[2];
        n6.node.work(o -> told[0] = o);
        play.pass(Duration.ofSeconds(1));
        assertEquals(play.work(), told[0]);
        assertTrue(told[0].toString().length() > 2000, "more than a datagram holds");
        List<InetSocketAddress> lost = List.of(n2.node.config().listen(), n6.node.config().listen());
        play.fleet().cut((from, to) -> lost.contains(from) || lost.contains(to));
        play.pass(Duration.ofSeconds(4));
        n6.node.work(o -> told[0] = o);
        n2.node.work(o -> told[1] = o);
        play.pass(Duration.ofSeconds(4));
        assertNull(told[0], "it can't know");
        assertEquals("no leader is known: no majority of the voters hears each other", told[1].getString("halted", ""));
    }
}
