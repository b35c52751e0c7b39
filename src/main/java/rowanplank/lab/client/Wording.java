package rowanplank.lab.client;

/** How a front's requests read. Numbers are the front's, a new one each time that something is asked. */
public interface Wording {
    /**
     * A client wants this: makes it known to whoever has to know of it. Called once a number, before it is written.
     *
     * @param requestClass the place of its class
     * @param work what it asks of a server: nanoseconds of a core of speed 1
     */
    void enter(int requestClass, long number, long work);

    /**
     * The whole request.
     *
     * @param fields further ones, each ending its line
     */
    String message(int requestClass, long number, String fields);
}
