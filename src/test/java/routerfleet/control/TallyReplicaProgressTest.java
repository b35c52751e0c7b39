package routerfleet.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import routerfleet.journal.JournalVector;
import routerfleet.journal.Origin;

/** Tracking of what other control nodes hold on their disks. */
class TallyReplicaProgressTest {
    private static final Origin DISK = new Origin("10.0.0.2", 5);
    private static final Origin NEXT_DISK = new Origin("10.0.0.2", 6);
    private static final Origin ADDS = new Origin("10.0.0.1", 7);

    private final TallyReplicaProgress progress = new TallyReplicaProgress();

    private static JournalVector upTo(long number) {
        return new JournalVector(new TreeMap<>(Map.of(ADDS, number)));
    }

    /** Guards acknowledgements: a vector that arrives after a newer report takes nothing back. */
    @Test
    void aLateVectorTakesNothingBack() {
        progress.update(DISK, upTo(1));
        progress.update(DISK, ADDS, 3);
        progress.update(DISK, upTo(2));
        assertThat(progress.holdersOf(ADDS, 3), contains("10.0.0.2"));
    }

    @Test
    void aReplacedDiskHoldsNothing() {
        progress.update(DISK, upTo(3));
        progress.update(NEXT_DISK, upTo(0));
        assertThat(progress.holdersOf(ADDS, 1), empty());
    }
}
