package rowanplank.lab.site;

/**
 * Request ids as texts: a request's number in 16 hexadecimal digits, mixed so that nothing can be read from it.
 *
 * <p>The mixing is the finalizer of SplitMix64 (Steele, Lea and Flood 2014, with Stafford's variant 13), which is a
 * bijection of 64 bits: each xor-shift and each product with an odd number can be undone. Numbers use 48 of the bits,
 * so that of 65,536 ids made up by somebody else one at most passes for ours.
 */
public final class Ids {
    /** Numbers lie below this. */
    public static final long BOUND = 1L << 48;

    private static final int DIGITS = 16;
    private static final long STEP = 0x9e3779b97f4a7c15L;
    private static final long FIRST = 0xbf58476d1ce4e5b9L;
    private static final long SECOND = 0x94d049bb133111ebL;
    /** The factors' inverses modulo 2^64. */
    private static final long FIRST_BACK = 0x96de1b173f119089L;
    private static final long SECOND_BACK = 0x319642b2d24d8ec3L;

    private Ids() { }

    /** @param number from 0, below {@link #BOUND} */
    public static String text(long number) {
        if (number < 0 || number >= BOUND) {
            throw new IllegalArgumentException("no request's number: " + number);
        }
        long z = number + STEP;
        z = (z ^ z >>> 30) * FIRST;
        z = (z ^ z >>> 27) * SECOND;
        return hex(z ^ z >>> 31);
    }

    /** @return the number, or -1 if no request has this id, letter for letter */
    public static long number(String text) {
        if (text == null || text.length() != DIGITS) {
            return -1;
        }
        long z = 0;
        for (int i = 0; i < DIGITS; i++) {
            char c = text.charAt(i);
            int digit = c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
            if (digit < 0) {
                return -1;
            }
            z = z << 4 | digit;
        }
        z = unshift(z, 31) * SECOND_BACK;
        z = unshift(z, 27) * FIRST_BACK;
        long number = unshift(z, 30) - STEP;
        return number >= 0 && number < BOUND ? number : -1;
    }

    /** All 64 bits as 16 hexadecimal digits. */
    static String hex(long bits) {
        char[] digits = new char[DIGITS];
        for (int i = 0; i < DIGITS; i++) {
            digits[i] = Character.forDigit((int) (bits >>> 60 - 4 * i) & 0xf, 16);
        }
        return new String(digits);
    }

    /** Undoes {@code z ^ z >>> by}, for a shift of 22 or more. */
    private static long unshift(long z, int by) {
        return z ^ z >>> by ^ z >>> 2 * by;
    }
}
