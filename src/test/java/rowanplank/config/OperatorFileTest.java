package rowanplank.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.ZoneId;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class OperatorFileTest {
    private static String example() throws Exception {
        return Files.readString(Path.of("deploy/fleet/n1.toml"));
    }

    private static List<String> faults(String text) {
        return assertThrows(ConfigException.class, () -> OperatorFile.read("f", text)).faults();
    }

    @ParameterizedTest
    @CsvSource({"n1", "n2", "n3"})
    void theExamplesCanBeUsed(String node) throws Exception {
        OperatorFile file = OperatorFile.read("f", Files.readString(Path.of("deploy/fleet/" + node + ".toml")));
        assertEquals(node, file.node().name());
        assertEquals(List.of("n1", "n2", "n3"), List.copyOf(file.fleet().voters().keySet()));
        assertTrue(file.fleet().isVoter());
        assertEquals(Duration.ofSeconds(4), file.fleet().leases().get(0).length());
    }

    @Test
    void theExampleOfBudgetsCanBeUsed() throws Exception {
        FleetConfig.Sharing s = OperatorFile.read("f", Files.readString(Path.of("deploy/fleet/budgets.toml"))).fleet().sharing();
        assertEquals(new FleetConfig.Sharing.Uses("again", 0.1, "calls"), s.uses());
        assertEquals(new FleetConfig.Sharing.Terms(0, 5), s.terms("again"));
        assertEquals(1, s.places().cold());
    }

    @Test
    void withoutFleetThereIsNone() throws Exception {
        assertNull(OperatorFile.read("f", example().substring(0, example().indexOf("[fleet]"))).fleet());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "n3 = \"127.0.0.1:7943\" | | fleet.voters: must be 1, 3, 5 or 7, not 2",
        "n2 = \"127.0.0.1:7942\" | n1 = \"127.0.0.1:7942\" | n1 previously defined",
        "n2 = \"127.0.0.1:7942\" | n2 = \"127.0.0.1:7941\" | fleet.voters.n2: has the address of another node",
        "dir = \"state/n1\" | | state.dir: is missing: n1 is a voter",
        "lease = \"nightly\" | lease = \"daily\" | there is no [[lease]] of that name: daily",
        "longest = \"1s\" | longest = \"3s\" | must be at most two thirds of its lease's length",
        "every = \"5s\" | | every: is missing, and neither always nor once_in is set",
        "every = \"5s\" | every = \"5s\"~once_in = \"1h\" | once_in: must not stand beside every or always",
        "name = \"press\" | name = \"press\"~snapshot = 3 | fleet.snapshot: must be a whole number from 16 to 100000",
        "every = \"5s\" | evry = \"5s\" | unknown key",
        "[[task]] | [[task]]~name = \"stamp\"~lease = \"nightly\"~every = \"9s\"~command = [\"true\"]~[[task]] | task[1].name: stands twice: stamp",
        "[[lease]] | [fleet.budgets]~places = 4~places_cold = 5~[[lease]] | fleet.budgets.places_cold: is more than the whole of 4",
        "[[lease]] | [fleet.budgets]~tries = \"t\"~[[lease]] | fleet.budgets.tries: there is no [[budget]] of that name and kind rate: t",
        "[[lease]] | [[budget]]~name = \"b\"~whole = 2~reserve = 2~[[lease]] | reserve: leaves nothing to divide",
        "[[lease]] | [[budget]]~name = \"b\"~whole = 2~floor = 3~[[lease]] | floor: is more than there is to divide: 2",
        "name = \"press\" | | fleet.name: is missing"})
    void eachFaultIsOneLineWithItsPlace(String line, String instead, String told) throws Exception {
        List<String> faults = faults(example().replace(line, instead == null ? "" : instead.replace("~", "\n")));
        assertTrue(faults.stream().anyMatch(f -> f.matches("f:[0-9]+:[0-9]+: .*") && f.contains(told)), faults::toString);
    }

    /** Guards against a file that is taken up in part: what needs a restart is named, and anything else is not. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"every = \"5s\" | every = \"9s\" | ", "name = \"nightly\" | name = \"other\" | ",
        "discovery = \"127.0.0.1:8500\" | discovery = \"127.0.0.1:8501\" | ", "name = \"press\" | name = \"pres\" | fleet.name",
        "n3 = \"127.0.0.1:7943\" | n3 = \"127.0.0.1:7953\" | fleet.voters", "listen = \"127.0.0.1:7071\" | listen = \"127.0.0.1:7079\" | front",
        "name = \"press\" | name = \"press\"~election = \"1s\" | election", "dir = \"state/n1\" | dir = \"state/x\" | state.dir"})
    void whatNeedsARestartIsNamed(String line, String instead, String named) throws Exception {
        String other = example().replace(line, instead.replace("~", "\n")).replace("lease = \"nightly\"", instead.contains("other") ? "lease = \"other\""
                : "lease = \"nightly\"");
        String difference = OperatorFile.read("f", example()).fixedDifference(OperatorFile.read("f", other));
        assertTrue(named == null ? difference == null : difference != null && difference.contains(named), () -> "" + difference);
    }

    /** Guards a voter's name: a file that does not name itself among the voters is a client's, and is given no state. */
    @Test
    void whoIsNotNamedAmongTheVotersIsAClient() throws Exception {
        FleetConfig fleet = OperatorFile.read("f", example().replaceFirst("name = \"n1\"", "name = \"n9\"")).fleet();
        assertEquals("n9", fleet.node());
        assertFalse(fleet.isVoter());
        assertNull(fleet.pictures(), "which voters write");
    }

    @Test
    void allFaultsAreToldAtOnce() throws Exception {
        assertEquals(3, faults(example().replace("length = \"4s\"", "length = 4").replace("kind = \"http\"", "kind = \"ftp\"")
                .replace("longest = \"1s\"", "longest = 1")).size());
    }

    private static final String SHARED = """
            [fleet.budgets]
            part = "1s"
            [[budget]]
            name = "exports"
            whole = 12
            fixed = 2
            nodes = 3
            [[budget]]
            name = "calls"
            kind = "rate"
            whole = 10
            burst = 4
            [[worker]]
            name = "export"
            budget = "exports"
            copies = 4
            pause = "20ms"
            longest = "300ms"
            allowance = "100ms"
            command = ["true"]
            """;

    private static String shared(String what) throws Exception {
        return example().replace("[fleet.voters]", what + "[fleet.voters]");
    }

    @Test
    void budgetsAndWorkersAreRead() throws Exception {
        FleetConfig.Sharing sharing = OperatorFile.read("f", shared(SHARED)).fleet().sharing();
        assertEquals(List.of(new FleetConfig.Budget("exports", false, 12, 0, 2, 3),
                new FleetConfig.Budget("calls", true, 10, 4, 0, 1)), sharing.budgets());
        assertEquals(Duration.ofMillis(400), sharing.longestUse());
        assertEquals(Duration.ofSeconds(1), sharing.part());
        assertEquals(FleetConfig.Sharing.NONE, OperatorFile.read("f", example()).fleet().sharing());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "nodes = 3 | nodes = 7 | fixed: for 7 nodes it is more than the whole",
        "nodes = 3 | | budget[0].nodes: is missing",
        "fixed = 2 | burst = 2 | burst: only a rate has one",
        "burst = 4 | | budget[1].burst: is missing",
        "name = \"calls\" | name = \"exports\" | name: stands twice: exports",
        "budget = \"exports\" | budget = \"none\" | there is no [[budget]] of that name: none",
        "whole = 10 | whole = 10~fixed = 3~nodes = 5 | burst: must be at least 5",
        "kind = \"rate\" | kind = \"some\" | kind: must be one of count, rate",
        "whole = 12 | whole = -1 | whole: must be a whole number from 0",
        "part = \"1s\" | part = \"1ms\" | fleet.budgets.part: must be a time from"})
    void eachFaultOfABudgetIsOneLineWithItsPlace(String line, String instead, String told) throws Exception {
        List<String> faults = faults(shared(SHARED.replace(line, instead == null ? "" : instead.replace("~", "\n"))));
        assertTrue(faults.stream().anyMatch(f -> f.matches("f:[0-9]+:[0-9]+: .*") && f.contains(told)), faults::toString);
    }

    private static final String WORK = "[fleet.work]\nhall = \"north\"\nmost_out = 2\nalone = \"serve\"\n";

    @Test
    void theOrderOfWorkIsRead() throws Exception {
        assertEquals(new FleetConfig.Order("n1", "north", 2, 2, Duration.ofSeconds(5), true, Duration.ofSeconds(30)),
                OperatorFile.read("f", shared(WORK)).fleet().order());
        assertNull(OperatorFile.read("f", example()).fleet().order());
        assertTrue(faults(shared(WORK.replace("serve", "go"))).get(0).contains("fleet.work.alone: must be one of stay-out, serve"));
        assertTrue(faults(shared(WORK.replace("most_out", "most"))).get(0).contains("fleet.work.most: unknown key"));
        assertEquals(new FleetConfig.Halts(0.5, false, 200, 0.5, ZoneId.of("+01:00")), OperatorFile.read("f", shared(WORK
                + "least_service = 0.5\nhalt_on_dead = false\nmost_requests = 200\nmargin = 0.5\nzone = \"+01:00\"\n"))
                .fleet().order().halts());
        assertTrue(faults(shared(WORK + "zone = \"Mars\"\n")).get(0).contains("fleet.work.zone: must be a zone"));
        assertTrue(faults(shared(WORK + "least_service = 2\n")).get(0).contains("must be a number from 0 to 1"));
    }
}
