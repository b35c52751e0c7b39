package rowanplank.intake.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import rowanplank.intake.http.ConnectionQueue.Place;
import rowanplank.intake.http.ConnectionQueue.Stage;

/** The queue's choices beside the rule that looks at all connections and sorts them, on the same random histories. */
class ConnectionQueueTest {
    /** They meet the limits exactly, too. */
    private static final int[] STEPS_MS = {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 10, 10, 20, 20, 80, 500, 2000, 10_000};
    private static final int MOST_SERVED = 1;

    private Instant now = Instant.EPOCH;

    /** A connection of which something may have come in that was not yet read. */
    private final class Fake implements ConnectionQueue.Connection {
        final int id;
        final List<String> log;
        Place place;
        boolean unread;
        boolean over;

        Fake(int id, List<String> log) {
            this.id = id;
            this.log = log;
        }

        private boolean isIdle() {
            return place.stage() == Stage.SILENT || place.stage() == Stage.RESTING;
        }

        @Override
        public boolean endIfIdle() {
            if (unread) {
                unread = false;
                place.begin(now);
            } else {
                end();
            }
            return over;
        }

        @Override
        public void timeUp() {
            if (isIdle()) {
                endIfIdle();
            } else {
                end();
            }
        }

        @Override
        public void closeLingering() {
            end();
        }

        void end() {
            over = true;
            place.leave();
            log.add("closed " + id);
        }
    }

    /** The rule as it was: filters and sorts all connections, in the order in which they were accepted. */
    private final class SortingRule {
        final List<Old> connections = new ArrayList<>();
        final List<String> log = new ArrayList<>();

        final class Old {
            final int id;
            Stage stage = Stage.SILENT;
            Instant since = now;
            boolean asked;
            boolean unread;

            Old(int id) {
                this.id = id;
            }

            boolean isIdle() {
                return stage == Stage.SILENT || stage == Stage.RESTING;
            }

            boolean hasRested(int ms) {
                return isIdle() && asked && isOlder(ms);
            }

            boolean isOlder(int ms) {
                return Duration.between(since, now).compareTo(Duration.ofMillis(ms)) > 0;
            }

            boolean closeIfIdle() {
                if (isIdle() && unread) {
                    unread = false;
                    begin();
                    return false;
                }
                if (isIdle()) {
                    end();
                }
                return !connections.contains(this);
            }

            void begin() {
                since = asked ? now : since;
                stage = asked ? Stage.GOING_ON : Stage.BEGINNING;
            }

            void end() {
                connections.remove(this);
                log.add("closed " + id);
            }

            void review(boolean crowded) {
                int most = switch (stage) {
                    case SILENT, BEGINNING, GOING_ON, SENDING -> 2500;
                    case RESTING -> crowded ? 2000 : 120_000;
                    case WRITING -> 10_000;
                    case LINGERING -> 1000;
                    case WAITING -> Integer.MAX_VALUE;
                };
                if (isOlder(most) && isIdle()) {
                    closeIfIdle();
                } else if (isOlder(most)) {
                    end();
                }
            }
        }

        boolean closeFirst(Stream<Old> which) {
            return which.sorted(Comparator.comparing((Old c) -> c.since)).toList().stream().anyMatch(Old::closeIfIdle);
        }

        boolean closeOneAtRest() {
            return closeFirst(connections.stream().filter(c -> c.isIdle() && !c.asked && c.isOlder(100)))
                    || closeFirst(connections.stream().filter(c -> c.hasRested(2000)));
        }

        boolean closeOneIdle() {
            return closeFirst(connections.stream().filter(c -> !c.asked)) || closeFirst(connections.stream());
        }

        boolean closeOneServed() {
            return connections.stream().filter(c -> c.asked && c.stage != Stage.LINGERING).count() > MOST_SERVED
                    && closeFirst(connections.stream().filter(c -> c.hasRested(20)));
        }
    }

    /** Always or never crowded: within one review, the two go through the connections in different orders. */
    @Property(tries = 400, seed = "8")
    void theChoiceIsThatOfTheRuleThatSortsAll(
            @ForAll @Size(min = 50, max = 250) List<@IntRange(max = 99_999) Integer> history, @ForAll boolean crowded) {
        now = Instant.EPOCH;
        SortingRule rule = new SortingRule();
        List<String> log = new ArrayList<>();
        List<Fake> fakes = new ArrayList<>();
        ConnectionQueue queue = new ConnectionQueue(crowded ? 0 : 1000, MOST_SERVED);
        for (int step : history) {
            now = now.plusMillis(STEPS_MS[step / 5000]);
            int event = step % 100;
            if (event < 20) {
                Fake fake = new Fake(fakes.size(), log);
                rule.connections.add(rule.new Old(fakes.size()));
                fake.place = queue.join(fake, now);
                fakes.add(fake);
            } else if (event < 80 && !rule.connections.isEmpty()) {
                SortingRule.Old old = rule.connections.get(step / 100 % rule.connections.size());
                moveOn(old, fakes.get(old.id), event);
            } else if (event < 95) {
                boolean[] closed = switch (event % 3) {
                    case 0 -> new boolean[] {rule.closeOneAtRest(), queue.endOneAtRest(now)};
                    case 1 -> new boolean[] {rule.closeOneServed(), queue.endOneServed(now)};
                    default -> new boolean[] {rule.closeOneIdle(), queue.endOneIdle()};
                };
                assertEquals(closed[0], closed[1]);
            } else {
                List.copyOf(rule.connections).forEach(c -> c.review(crowded));
                queue.review(now, Integer.MAX_VALUE, null);
                assertEquals(new TreeSet<>(rule.log), new TreeSet<>(log));
                rule.log.clear();
                log.clear();
            }
            assertEquals(rule.log, log);
            assertEquals(rule.connections.size(), queue.size());
        }
    }

    /** The next thing that may become of a connection, the same for both; some have more to say than was read. */
    private void moveOn(SortingRule.Old old, Fake fake, int event) {
        if (event < 26 && old.isIdle()) {
            old.unread = true;
            fake.unread = true;
        } else if (event < 30) {
            old.end();
            fake.end();
        } else if (old.isIdle()) {
            old.begin();
            fake.place.begin(now);
        } else if (old.stage == Stage.BEGINNING || old.stage == Stage.GOING_ON) {
            old.asked = true;
            fake.place.asked();
            to(Stage.WAITING, old, fake);
        } else if (old.stage == Stage.WAITING) {
            to(Stage.WRITING, old, fake);
        } else if (old.stage == Stage.WRITING) {
            to(event % 4 == 0 ? Stage.LINGERING : Stage.RESTING, old, fake);
        }
    }

    private void to(Stage stage, SortingRule.Old old, Fake fake) {
        old.stage = stage;
        old.since = now;
        fake.place.move(stage, now);
    }

    /** Guards the loop's other work: thousands of connections may come due at one moment. */
    @Test
    void aReviewTellsNoMoreThanItMayAndTheOldestFirst() {
        ConnectionQueue queue = new ConnectionQueue(1000, MOST_SERVED);
        List<String> log = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            Fake fake = new Fake(i, log);
            fake.place = queue.join(fake, now.plusMillis(5 - i));
        }
        now = now.plusSeconds(60);
        assertEquals(2, queue.review(now, 2, null));
        assertEquals(List.of("closed 4", "closed 3"), log);
        assertEquals(3, queue.review(now, 9, null));
    }

    /** Guards drains: what rests is closed by the lifecycle's time, and what is half-way through a request is not. */
    @Test
    void aShorterRestClosesThoseAtRestAndNoOthers() {
        ConnectionQueue queue = new ConnectionQueue(1000, MOST_SERVED);
        List<String> log = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Fake fake = new Fake(i, log);
            fake.place = queue.join(fake, now);
        }
        Fake resting = new Fake(3, log);
        resting.place = queue.join(resting, now);
        resting.place.move(Stage.RESTING, now);
        Fake reading = new Fake(4, log);
        reading.place = queue.join(reading, now);
        reading.place.begin(now);
        now = now.plusMillis(300);
        assertEquals(0, queue.review(now, 9, Duration.ofMillis(300)));
        assertEquals(4, queue.review(now, 9, Duration.ofMillis(299)));
        assertEquals(List.of("closed 0", "closed 1", "closed 2", "closed 3"), log);
    }

    /** Guards against a closed connection that is looked at for ever, or counted as one that was served. */
    @Test
    void whatHasLeftStaysOut() {
        ConnectionQueue queue = new ConnectionQueue(1000, 1);
        List<String> log = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Fake fake = new Fake(i, log);
            fake.place = queue.join(fake, now);
            if (i == 0) {
                fake.end();
            }
            fake.place.asked();
            fake.place.move(Stage.RESTING, now);
        }
        now = now.plusSeconds(60);
        assertFalse(queue.endOneServed(now), "only one is left that was served");
        assertEquals(1, queue.size());
        assertTrue(queue.endOneIdle());
        assertFalse(queue.endOneIdle());
        assertEquals(List.of("closed 0", "closed 1"), log);
    }
}
