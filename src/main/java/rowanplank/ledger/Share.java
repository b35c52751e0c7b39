package rowanplank.ledger;

/**
 * So much of a budget. Of a count: {@code amount} uses at once, and no burst. Of a rate: {@code amount} thousandths of a
 * use a second, and {@code burst} thousandths of a use at once.
 */
public record Share(long amount, long burst) {
    public static final Share NONE = new Share(0, 0);
    /** So many of a rate's units are one use. */
    public static final long USE = 1000;

    public Share plus(Share other) {
        return new Share(amount + other.amount, burst + other.burst);
    }

    public Share minus(Share other) {
        return new Share(amount - other.amount, burst - other.burst);
    }

    public Share times(int n) {
        return new Share(amount * n, burst * n);
    }

    public Share least(Share other) {
        return new Share(Math.min(amount, other.amount), Math.min(burst, other.burst));
    }

    public Share most(Share other) {
        return new Share(Math.max(amount, other.amount), Math.max(burst, other.burst));
    }

    /** Whether the other one is within this one. */
    public boolean covers(Share other) {
        return other.amount <= amount && other.burst <= burst;
    }
}
