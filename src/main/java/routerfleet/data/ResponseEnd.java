package routerfleet.data;

/** How the response to a client's request ended. */
enum ResponseEnd {
    /** A server's complete response was forwarded. */
    FORWARDED,
    /** The node responded with an error, and no server has executed the request. */
    REFUSED,
    /** No complete response was received from a server that may have executed the request. */
    FAILED,
    /** The deadline of the request or the timeout of its route was reached. */
    TIMED_OUT,
    /** The client disconnected. */
    CLIENT_LEFT
}
