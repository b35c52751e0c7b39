package routerfleet.journal;

import java.util.List;
import java.util.Map;

/**
 * What a journal holds of one origin.
 *
 * @param folded up to which number entries were folded into the sums
 * @param sums of the folded entries that count, by tally
 * @param voided numbers of entries behind {@code folded} that don't count, since another entry of their uid is folded
 * @param entries those behind {@code folded}, in the order of their numbers, without gaps
 */
public record OriginState(Origin origin, long folded, Map<String, Long> sums, List<Long> voided,
        List<JournalEntry> entries) { }
