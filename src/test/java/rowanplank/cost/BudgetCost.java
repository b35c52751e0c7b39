package rowanplank.cost;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import rowanplank.ledger.Ask;
import rowanplank.ledger.BudgetHolder;
import rowanplank.ledger.Command;
import rowanplank.ledger.Result;
import rowanplank.ledger.Share;

/**
 * What a look at a part, and a use, cost on a request's path, in nanoseconds: a holder with as many parts as there are
 * page servers, asked of each in turn. The median of rounds after some that are not counted.
 */
public final class BudgetCost {
    private static final int ROUNDS = 15;
    private static final int QUESTIONS = 2_000_000;

    private BudgetCost() { }

    /** @param args how many servers; 200 where nothing is said */
    public static void main(String[] args) {
        int servers = args.length > 0 ? Integer.parseInt(args[0]) : 200;
        Instant now = Instant.EPOCH;
        List<Ask> asked = new ArrayList<>();
        BudgetHolder holder = new BudgetHolder(new BudgetHolder.Settings("n1", 1, List.of("n1"), Duration.ofMillis(300),
                Duration.ofHours(1), Duration.ofSeconds(4), 0.01), now, new BudgetHolder.Actions() {
                    @Override
                    public void ask(String voter, Ask ask) {
                        asked.add(ask);
                    }

                    @Override
                    public void more(String budget) { }
                });
        String[] names = new String[servers];
        Arrays.setAll(names, s -> "place/" + Long.toUnsignedString(0x9e3779b97f4a7c15L * (s + 1), Character.MAX_RADIX));
        Map<String, Command.Define> all = new TreeMap<>();
        Arrays.stream(names).forEach(n -> all.put(n, new Command.Define(n, false, new Share(4, 0), Share.NONE, 0)));
        holder.budgets(now, all, Duration.ofSeconds(4));
        answer(holder, now, asked, new Result(Result.Kind.OPENED, 5, ""), List.of());
        answer(holder, now, asked, new Result(Result.Kind.JOINED, 9, ""), List.of());
        answer(holder, now, asked, new Result(Result.Kind.PARTS, servers, ""), Arrays.stream(names)
                .map(n -> new Ask.Told(n, 9, new Share(4, 0), new Share(4, 0), 1)).toList());
        if (holder.limit(now, names[servers / 2]) != 4) {
            throw new IllegalStateException("no part");
        }
        double[] looks = new double[ROUNDS];
        double[] uses = new double[ROUNDS];
        long sum = 0;
        for (int round = 0; round < ROUNDS; round++) {
            long from = System.nanoTime();
            for (int i = 0; i < QUESTIONS; i++) {
                sum += holder.limit(now, names[i % servers]);
            }
            looks[round] = (System.nanoTime() - from) / (double) QUESTIONS;
            from = System.nanoTime();
            for (int i = 0; i < QUESTIONS; i++) {
                sum += holder.begin(now, names[i % servers]);
                holder.end(names[i % servers]);
            }
            uses[round] = (System.nanoTime() - from) / (double) QUESTIONS;
        }
        Arrays.sort(looks, ROUNDS / 3, ROUNDS);
        Arrays.sort(uses, ROUNDS / 3, ROUNDS);
        System.out.printf(Locale.ROOT, "%d parts: a look %.0f ns, a use from begin to end %.0f ns (%d)%n", servers,
                looks[ROUNDS * 2 / 3], uses[ROUNDS * 2 / 3], sum % 10);
    }

    private static void answer(BudgetHolder holder, Instant now, List<Ask> asked, Result result, List<Ask.Told> parts) {
        holder.onAnswer(now, new Ask.Answer(1, asked.get(asked.size() - 1).number(), result, parts));
    }
}
