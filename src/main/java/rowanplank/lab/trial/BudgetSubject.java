package rowanplank.lab.trial;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import rowanplank.config.FleetConfig;
import rowanplank.lab.trial.judge.BudgetJudge;
import rowanplank.lab.trial.judge.Event;
import rowanplank.lab.trial.judge.Event.Kind;
import rowanplank.lab.trial.judge.Judge;
import rowanplank.lab.trial.judge.Told;

/**
 * Two budgets of the whole fleet, one of uses at once and one of uses a second, and workers that use them: at nodes that
 * come and go, want more or less, and under wholes that staff change.
 */
class BudgetSubject implements Subject {
    static final String PLACES = "places";
    static final String STARTS = "starts";
    /** The longest that a use may take, by the seed: beside a part's length much, or little. */
    private static final List<Duration> LONGEST = List.of(Duration.ofMillis(200), Duration.ofMillis(400), Duration.ofMillis(700));
    private static final Duration PLACE_PAUSE = Duration.ofMillis(30);
    private static final Duration START_PAUSE = Duration.ofMillis(250);
    /** A copy of a rush begins once. */
    private static final Duration ONCE = Duration.ofSeconds(60);
    private static final int RUSH = 5;
    private static final int MOST_COPIES = 5;
    /** Of leases, or against what is assumed. */
    private static final EnumSet<Trouble.Kind> OTHERS = EnumSet.of(Trouble.Kind.OLDER, Trouble.Kind.RELEASE, Trouble.Kind.RUSH);
    private static final List<Trouble.Kind> STIR = List.of(Trouble.Kind.RELOAD, Trouble.Kind.WHOLE, Trouble.Kind.TERMINATE,
            Trouble.Kind.RUSH, Trouble.Kind.RELOAD, Trouble.Kind.WHOLE, Trouble.Kind.KILL);

    /**
     * What a trial begins with, where it is not drawn.
     *
     * @param fixed set aside for each node, of both budgets
     * @param copies that use places, of each node; of starts there are none
     * @param after the copies once a node's file has changed
     * @param pause between the uses of a copy
     * @param late how long after the others a node starts
     * @param starts null where nobody uses any
     */
    record Set(int places, int fixed, int[] copies, int[] after, Duration pause, Duration longest, Duration[] late, Starts starts) {
        Set(int places, int fixed, int[] copies, int[] after, Duration pause, Duration longest, Duration[] late) {
            this(places, fixed, copies, after, pause, longest, late, null);
        }
    }

    /**
     * The uses a second of a trial in which nothing is drawn.
     *
     * @param copies of each node
     * @param after the copies once a node's file has changed
     */
    record Starts(int whole, int burst, int[] copies, int[] after, Duration pause) { }

    private final TrialPlan plan;
    private final Set set;
    private final Starts starts;
    private final int fixed;
    private final Map<String, Integer> wholes = new TreeMap<>();
    /** What was in force at some time, or asked for: no whole comes twice, so that each can be told from the others. */
    private final Map<String, TreeSet<Integer>> past = new TreeMap<>();
    private final int burst;
    private final Duration longest;
    /** So many begin at once at each node where a rush comes, for which the buckets have filled; 0 where none ever does. */
    private final int rush;
    private boolean rushing;
    private final Map<String, int[]> copies = new TreeMap<>();
    private final Duration[] late;
    private final Map<String, String> said = new TreeMap<>();

    /** One in which only what is said changes. */
    BudgetSubject(TrialPlan plan, Set set) {
        this.plan = plan;
        this.set = set;
        fixed = set.fixed();
        wholes.put(PLACES, set.places());
        starts = set.starts() == null ? new Starts(plan.nodes() * fixed, plan.nodes() * (fixed + 1) + 1, new int[plan.nodes()],
                new int[plan.nodes()], START_PAUSE) : set.starts();
        wholes.put(STARTS, starts.whole());
        burst = starts.burst();
        copies.put(PLACES, set.copies().clone());
        copies.put(STARTS, starts.copies().clone());
        late = set.late().clone();
        longest = set.longest();
        rush = 0;
    }

    BudgetSubject(TrialPlan plan) {
        this.plan = plan;
        set = null;
        starts = null;
        UniformRandomProvider chance = RandomSource.XO_SHI_RO_256_PP.create(plan.seed() + 5);
        int nodes = plan.nodes();
        fixed = chance.nextInt(2);
        wholes.put(PLACES, nodes * fixed + 1 + chance.nextInt(2 * nodes)); // short beside what they want
        wholes.put(STARTS, nodes * fixed + 2 * nodes + chance.nextInt(4 * nodes));
        burst = nodes * (fixed + 2) + wholes.get(STARTS) / 5 + 1 + chance.nextInt(2 * nodes);
        for (String budget : wholes.keySet()) {
            past.put(budget, new TreeSet<>(List.of(wholes.get(budget))));
            copies.put(budget, chance.ints(nodes, 0, MOST_COPIES + 1).toArray());
        }
        late = new Duration[nodes];
        Arrays.setAll(late, n -> n > 0 && chance.nextInt(4) == 0 ? Duration.ofMillis(chance.nextInt(3000)) : Duration.ZERO);
        copies.get(PLACES)[0] = MOST_COPIES; // somebody begins
        longest = LONGEST.get(chance.nextInt(LONGEST.size()));
        rush = chance.nextBoolean() ? 0 : RUSH * (1 + chance.nextInt(3));
        if (rush > 0) { // else there is never anything in a bucket
            copies.put(STARTS, chance.ints(nodes, 0, 2).toArray());
        }
    }

    @Override
    public Wishes wishes(int node, List<String> command) {
        List<FleetConfig.Budget> budgets = List.of(
                new FleetConfig.Budget(PLACES, false, wholes.get(PLACES), 0, fixed, plan.nodes()),
                new FleetConfig.Budget(STARTS, true, wholes.get(STARTS), burst, fixed, plan.nodes()));
        List<FleetConfig.Worker> workers = new ArrayList<>(List.of(worker("place", PLACES, node, set == null ? PLACE_PAUSE : set.pause(), command),
                worker("start", STARTS, node, startPause(), command)));
        if (rushing) {
            workers.add(new FleetConfig.Worker("rush", STARTS, rush, ONCE, longest, TrialPlan.ALLOWANCE, command));
        }
        return new Wishes(List.of(), List.of(), new FleetConfig.Sharing(plan.lease(), budgets, workers));
    }

    private FleetConfig.Worker worker(String name, String budget, int node, Duration pause, List<String> command) {
        return new FleetConfig.Worker(name, budget, copies.get(budget)[node], pause, longest, TrialPlan.ALLOWANCE, command);
    }

    /** A copy that uses a rate wishes one use for each of its pauses. */
    @Override
    public void written(int node, Notes notes) {
        copies.forEach((budget, of) -> notes.tell(Kind.DEMAND, TrialPlan.name(node), budget,
                budget.equals(STARTS) ? of[node] * 1000 / startPause().toMillis() : of[node], 0, ""));
    }

    private Duration startPause() {
        return starts == null ? START_PAUSE : starts.pause();
    }

    @Override
    public void change(int node, UniformRandomProvider chance) {
        if (set != null) {
            copies.get(PLACES)[node] = set.after()[node];
            copies.get(STARTS)[node] = starts.after()[node];
            return;
        }
        int[] of = copies.get(chance.nextBoolean() ? PLACES : STARTS);
        of[node] = chance.nextInt(5) == 0 ? 0 : chance.nextInt(rush > 0 && of == copies.get(STARTS) ? 2 : MOST_COPIES + 1);
    }

    @Override
    public List<Integer> settle() {
        boolean changes = rushing;
        rushing = false;
        return changes ? IntStream.range(0, plan.nodes()).boxed().toList() : List.of(); // else it is as good as any other
    }

    @Override
    public boolean rush() {
        rushing = rush > 0 && !rushing;
        return rush > 0;
    }

    /** Up, down, to nothing, and below the number of nodes. */
    @Override
    public Whole whole(UniformRandomProvider chance) {
        String budget = chance.nextBoolean() ? PLACES : STARTS;
        int most = plan.nodes() * (budget.equals(PLACES) ? 4 : 8);
        int whole = switch (chance.nextInt(6)) {
            case 0 -> 0;
            case 1 -> chance.nextInt(plan.nodes());
            default -> chance.nextInt(most);
        };
        while (!past.get(budget).add(whole)) {
            whole++;
        }
        return new Whole(budget, whole); // some are refused: less than is set aside, or too fast for the burst
    }

    @Override
    public Duration startsAfter(int node) {
        return late[node];
    }

    @Override
    public Duration longest() {
        return longest;
    }

    @Override
    public int mostMillis() {
        return (int) longest.toMillis() * 3 / 4;
    }

    /** Up to 0.09, 0.29 or 0.49 s, as the process's number has it: it is asked to end after 4/5 of its longest. */
    @Override
    public String takes() {
        long tenths = longest.toMillis() / 140; // 1, 2, 5
        return tenths == 1 ? "0.0$(($$ % 9))" : "0.$((1 + $$ % " + (tenths == 2 ? 2 : 4) + "))$(($$ % 9))";
    }

    @Override
    public boolean isHeld(String name) {
        return true;
    }

    @Override
    public List<Trouble.Kind> faults() {
        return Arrays.stream(Trouble.Kind.values()).filter(k -> !OTHERS.contains(k)).toList();
    }

    @Override
    public List<Trouble.Kind> stir() {
        return set == null ? STIR : List.of();
    }

    @Override
    public void read(String node, JsonObject status, Notes notes) {
        tellBudgets(node, status, (kind, from, name, number, applied, text) -> {
            if (!(applied + text).equals(said.put(from + " " + name, applied + text))) {
                notes.tell(kind, from, name, number, applied, text);
            }
        });
    }

    /** What a voter's status says of budgets. */
    static void tellBudgets(String node, JsonObject status, Notes notes) {
        JsonValue budgets = status.get("budgets");
        if (budgets == null) {
            return;
        }
        for (JsonValue v : budgets.asArray()) {
            JsonObject b = v.asObject();
            List<Told.Part> parts = new ArrayList<>();
            for (JsonValue p : b.get("parts").asArray()) {
                JsonObject part = p.asObject();
                parts.add(new Told.Part(part.getString("node", ""), part.getDouble("amount", -1), part.getDouble("target", -1),
                        part.getLong("epoch", 0)));
            }
            String text = new Told(b.getDouble("whole", -1), b.getDouble("asked", -1), b.getDouble("free", -1),
                    b.getDouble("promised", -1), b.getDouble("giving_back", -1), b.getDouble("set_aside", -1), parts).text();
            notes.tell(Kind.BUDGET, node, b.getString("name", ""), 0, status.getLong("applied", 0), text);
        }
    }

    @Override
    public void started(String node) {
        said.keySet().removeIf(k -> k.startsWith(node + " "));
    }

    @Override
    public Judge judge(List<Event> history, Duration goesOn) {
        List<BudgetJudge.Budget> budgets = List.of(
                new BudgetJudge.Budget(PLACES, false, wholes.get(PLACES), 0, fixed, plan.nodes(), 1),
                new BudgetJudge.Budget(STARTS, true, wholes.get(STARTS), burst, fixed, plan.nodes(), 1));
        return new BudgetJudge(history, new BudgetJudge.Terms(budgets, TrialPlan.ALLOWANCE.toNanos() / 1000,
                longest.toNanos() / 1000, goesOn.toNanos() / 1000));
    }

    /** How much of the wholes that the file names was used: of the one at once on average, of the other in all. */
    @Override
    public TrialResult.Figures figures(List<Event> history) {
        Map<String, Event> open = new TreeMap<>();
        double openMicros = 0;
        long starts = 0;
        long changes = 0;
        for (Event e : history) {
            if (e.kind() == Kind.BEGIN) {
                starts += e.name().equals(STARTS) ? 1 : 0;
                open.put(e.name() + e.node() + " " + e.other(), e);
            } else if (e.kind() == Kind.END) {
                Event begin = open.remove(e.name() + e.node() + " " + e.other());
                openMicros += begin != null && e.name().equals(PLACES) ? e.at() - begin.at() : 0;
            } else if (e.kind() == Kind.WHOLE && !e.text().equals(BudgetJudge.REFUSED)) {
                changes++;
            }
        }
        double seconds = Math.max(1e-3, history.isEmpty() ? 0 : history.get(history.size() - 1).at() / 1e6);
        return new TrialResult.Figures(String.format(Locale.ROOT,
                "places: %.2f at once on average, whole %d; starts: %.2f a second, whole %d, burst %d; "
                + "set aside for each node: %d; wholes changed %d times", openMicros / 1e6 / seconds, wholes.get(PLACES),
                starts / seconds, wholes.get(STARTS), burst, fixed, changes),
                new JsonObject().add("places", wholes.get(PLACES)).add("places_used", openMicros / 1e6 / seconds)
                        .add("starts", wholes.get(STARTS)).add("starts_used", starts / seconds).add("fixed", fixed)
                        .add("wholes_changed", changes));
    }
}
