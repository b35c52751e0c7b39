package rowanplank.lab.client;

/** What a bad client does. */
public enum BadKind {
    /** Sends what can't be read. */
    GARBAGE,
    /** Sends a head without end. */
    ENDLESS_HEAD,
    /** Says a length that is none, or two, or more than it sends. */
    WRONG_LENGTH,
    /** Says a negative length. */
    NEGATIVE_LENGTH,
    /** Says a length that no machine holds. */
    HUGE_LENGTH,
    /** Sends a very long body. */
    LONG_BODY,
    /** Asks for a class that does not exist. */
    UNKNOWN_CLASS,
    /** Says a deadline that is no number. */
    ODD_DEADLINE,
    /** Sends no id. */
    NO_ID,
    /** Sends the id of another client's open request. */
    OTHERS_ID,
    /** Sends half a request, and ends its sending or closes. */
    HALF_REQUEST,
    /** Sends hundreds of requests at once. Each may be served. */
    PIPELINED,
    /** Says its length in two ways, and hides another request in what one of them leaves over. */
    TWO_LENGTHS,
    /** Sends the same again as soon as it is turned away. */
    REPEATED,
    /** Says nothing. */
    SILENT
}
