package routerfleet.demo;

/** How an emulated server numbers the events of a stream: the protocol says only that ids rise. */
public enum EventNumbering {
    /** 0, 1, 2 and so on. */
    BY_ONE,
    /** 5, 10, 15 and so on, as a server does that counts tokens. */
    BY_FIVE,
    /** With gaps that grow. */
    UNEVEN,
    /** A time and a counter that begins anew with each time, as in {@code 1764860000123-0}. */
    TIME_AND_COUNTER,
    /** Numbers of more digits than fit into 64 bits. */
    LARGE,
    /** Letters that rise in alphabetical order. */
    LETTERS,
    /** By five, and some events have a first line that tells that the model's version has changed. */
    WITH_VERSIONS;

    private static final int TOKENS_PER_EVENT = 5;
    private static final int EVENTS_PER_MILLISECOND = 3;
    private static final long FIRST_MILLISECOND = 1_764_860_000_123L;
    private static final String LEADING_DIGITS = "9876543210987654";
    private static final int LETTERS_IN_ALPHABET = 26;
    private static final int EVENTS_PER_VERSION = 4;

    /** The id of the event with this index, which counts from 0. */
    public String id(int index) {
        return switch (this) {
            case BY_ONE -> Integer.toString(index);
            case BY_FIVE, WITH_VERSIONS -> Integer.toString(TOKENS_PER_EVENT * (index + 1));
            case UNEVEN -> Integer.toString(1 + index * (index + 1) / 2);
            case TIME_AND_COUNTER -> (FIRST_MILLISECOND + index / EVENTS_PER_MILLISECOND) + "-"
                    + index % EVENTS_PER_MILLISECOND;
            case LARGE -> LEADING_DIGITS + (100_000 + index);
            case LETTERS -> "" + letter(index / LETTERS_IN_ALPHABET / LETTERS_IN_ALPHABET)
                    + letter(index / LETTERS_IN_ALPHABET) + letter(index);
        };
    }

    private static char letter(int number) {
        return (char) ('a' + number % LETTERS_IN_ALPHABET);
    }

    /** The event with this index as a server sends it. */
    public String event(int index) {
        boolean newVersion = this == WITH_VERSIONS && index % EVENTS_PER_VERSION == EVENTS_PER_VERSION - 1;
        return (newVersion ? "versions: " + (2 + index / EVENTS_PER_VERSION) + "\n" : "") + "id: " + id(index)
                + "\ndata: piece " + index + "\n\n";
    }

    /** All events of a stream of this length. */
    public String stream(int events) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < events; i++) {
            text.append(event(i));
        }
        return text.toString();
    }

    /** The index of the event with this id; -1 for null. @throws IllegalArgumentException if none of the stream has it */
    int indexOf(String id, int events) {
        if (id == null) {
            return -1;
        }
        for (int i = 0; i < events; i++) {
            if (id(i).equals(id)) {
                return i;
            }
        }
        throw new IllegalArgumentException("no event has the id " + id);
    }
}
