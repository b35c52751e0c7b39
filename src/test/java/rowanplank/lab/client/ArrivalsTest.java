package rowanplank.lab.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import rowanplank.lab.day.Day;
import rowanplank.lab.world.World;

class ArrivalsTest {
    private static final long SECOND = 1_000_000_000;
    private static final int RATE = 2000;

    private final World world = new World(7);

    private static Day.Clients clients(double burst, double skew, double patience) {
        return new Day.Clients(RATE, burst, Duration.ofSeconds(1), skew, patience, 0.25, 10, 0.05, Duration.ZERO,
                Duration.ZERO, 0.9, false);
    }

    private Arrivals arrivals(Day.Clients clients, Function<String, UniformRandomProvider> random) {
        return new Arrivals(clients, Stage.CLASSES, 3, Duration.ofSeconds(50), random);
    }

    private static List<Arrival> all(Arrivals arrivals) {
        List<Arrival> all = new ArrayList<>();
        arrivals.forEachRemaining(all::add);
        return all;
    }

    private static double mean(List<Arrival> of, ToDoubleFunction<Arrival> what) {
        return of.stream().mapToDouble(what).average().orElseThrow();
    }

    private static long between(List<Arrival> of, long fromSecond, long toSecond) {
        return of.stream().filter(a -> a.at() >= fromSecond * SECOND && a.at() < toSecond * SECOND).count();
    }

    /** Bounds are four standard errors or more. */
    @Test
    void isPoissonAndDrawsWhatTheDaySays() {
        List<Arrival> all = all(arrivals(clients(0, 0.4, 0.7), world::random));
        assertEquals(50 * RATE, all.size(), 4 * Math.sqrt(50 * RATE));
        // Of a Poisson process, counts have their mean for their variance (chi-square of 500 tenths of a second).
        double chi = 0;
        int[] counts = new int[500];
        all.forEach(a -> counts[(int) (a.at() * 10 / SECOND)]++);
        for (int c : counts) {
            chi += Math.pow(c - RATE / 10.0, 2) / (RATE / 10.0);
        }
        assertEquals(500, chi, 4 * Math.sqrt(2 * 500));
        assertEquals(0.6, mean(all, a -> a.hall() == 0 ? 1 : 0), 0.007, "0.4 and a third of the rest");
        assertEquals(0.2, mean(all, a -> a.hall() == 2 ? 1 : 0), 0.007);
        assertEquals(0.75, mean(all, a -> a.requestClass() == 0 ? 1 : 0), 0.007, "3 of 4 shares");
        assertEquals(0.25, mean(all, a -> a.heeds() ? 1 : 0), 0.007);
        assertEquals(0.9, mean(all, a -> a.keepsConnection() ? 1 : 0), 0.007);
        assertEquals(0.05, mean(all, a -> a.askOnce() ? 1 : 0), 0.004);
        List<Arrival> pages = all.stream().filter(a -> a.requestClass() == 0).toList();
        assertEquals(80e6, mean(pages, Arrival::work), 0.5e6);
        assertEquals(0.3, Math.sqrt(mean(pages, a -> Math.pow(a.work() - 80e6, 2))) / 80e6, 0.01);
        assertEquals(0.85, mean(pages, a -> a.patience().toMillis() / 1000.0), 0.002, "0.7 to 1 of a second");
        assertTrue(pages.stream().allMatch(a -> a.patience().toMillis() >= 700 && a.patience().toMillis() <= 1000));
    }

    @Test
    void swingsAndSpikesChangeTheRateAndNothingBefore() {
        List<Arrival> even = all(arrivals(clients(0, 0, 1), world::random));
        Arrivals spiked = arrivals(clients(0, 0, 1), world::random);
        spiked.setRateFactor(10 * SECOND, 20 * SECOND, 4);
        spiked.setRateFactor(15 * SECOND, 30 * SECOND, 0);
        spiked.setSkew(10 * SECOND, 12 * SECOND, 1);
        List<Arrival> all = all(spiked);
        assertEquals(even.subList(0, (int) between(even, 0, 10)), all.subList(0, (int) between(all, 0, 10)));
        assertEquals(20 * RATE, between(all, 10, 15), 4 * Math.sqrt(20 * RATE));
        assertEquals(0, between(all, 15, 30));
        assertEquals(20 * RATE, between(all, 30, 50), 4 * Math.sqrt(20 * RATE));
        assertTrue(all.stream().filter(a -> a.at() / SECOND == 11).allMatch(a -> a.hall() == 0));
        assertThrows(IllegalStateException.class, () -> spiked.setRateFactor(0, 1, 2), "it has been drawn");

        List<Arrival> swinging = all(arrivals(clients(0.5, 0, 1), world::random));
        double[] seconds = new double[50];
        swinging.forEach(a -> seconds[(int) (a.at() / SECOND)]++);
        double variance = Arrays.stream(seconds).map(s -> Math.pow(s - RATE, 2)).average().orElseThrow();
        assertEquals(0.5 * RATE / Math.sqrt(3), Math.sqrt(variance), 0.1 * RATE, "uniform in [0.5, 1.5]");
    }

    private static final List<String> MATTERS =
            List.of("times", "swings", "halls", "classes", "work", "patience", "heeds", "keeps", "once");
    private static final List<Function<Arrival, Object>> DRAWN = List.of(Arrival::at, Arrival::at, Arrival::hall,
            Arrival::requestClass, Arrival::work, Arrival::patience, Arrival::heeds, Arrival::keepsConnection,
            Arrival::askOnce);

    /** Guards comparisons of two policies, or of a day with and without a fault: they must meet the same clients. */
    @ParameterizedTest
    @MethodSource("matters")
    void eachMatterHasItsOwnChance(String changed) {
        World other = new World(8);
        List<Arrival> some = all(arrivals(clients(0.5, 0, 0.5), world::random)).subList(0, 1000);
        List<Arrival> more = all(arrivals(clients(0.5, 0, 0.5), name ->
                (name.equals("arrivals." + changed) ? other : world).random(name))).subList(0, 1000);
        Set<String> moved = switch (changed) {
            case "times", "swings" -> Set.of("times", "swings");
            case "classes" -> Set.of("classes", "work", "patience"); // which are the class's
            default -> Set.of(changed);
        };
        for (int i = 0; i < MATTERS.size(); i++) {
            boolean same = some.stream().map(DRAWN.get(i)).toList().equals(more.stream().map(DRAWN.get(i)).toList());
            assertEquals(!moved.contains(MATTERS.get(i)), same, MATTERS.get(i));
        }
    }

    static List<String> matters() {
        return MATTERS;
    }
}
