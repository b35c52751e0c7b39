package routerfleet.journal;

/**
 * One add, as an origin has taken it.
 *
 * @param number counted by its origin from 1 on, without gaps
 * @param uid names the add within its tally, whichever origin takes it
 * @param amount by which the tally grows
 */
public record JournalEntry(Origin origin, long number, String tally, String uid, long amount) {
    /**
     * Whether this one counts where both have the same uid: the smaller amount, then the smaller origin, then the smaller
     * number. So a total never holds more than any one of the adds could have brought.
     */
    boolean winsOver(JournalEntry other) {
        if (amount != other.amount) {
            return amount < other.amount;
        }
        int order = origin.compareTo(other.origin);
        return order == 0 ? number < other.number : order < 0;
    }
}
