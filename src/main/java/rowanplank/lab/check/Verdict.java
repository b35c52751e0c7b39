package rowanplank.lab.check;

import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * What the checker has found.
 *
 * @param ended whether the day's end was told: else requests that were still open are not judged
 * @param breaks the first ones, in the order in which they were seen
 * @param broken how often each rule was broken; only rules that were
 * @param excuses how often each excuse was granted; only those that were
 * @param counts all of them
 */
public record Verdict(boolean ended, List<Break> breaks, Map<Rule, Long> broken, Map<Excuse, Long> excuses,
        Map<Count, Long> counts) {
    public Verdict {
        breaks = List.copyOf(breaks);
        broken = broken.isEmpty() ? Collections.emptyMap() : new EnumMap<>(broken);
        excuses = excuses.isEmpty() ? Collections.emptyMap() : new EnumMap<>(excuses);
        counts = new EnumMap<>(counts);
    }

    /** Whether no rule was broken. */
    public boolean isClean() {
        return broken.isEmpty();
    }
}
