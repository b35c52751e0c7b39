package routerfleet.soak;

import java.util.Arrays;
import java.util.List;
import routerfleet.demo.EventNumbering;

/**
 * What the requests of a soak ask of the servers beside a response.
 *
 * @param numberings how streams number their events; each is as probable
 * @param refusalProbability that the first server that is asked rejects a request
 * @param stallProbability that a request keeps its server from sending anything for 1 to 2.5 s
 * @param cutProbability that the first server that is asked breaks a stream off inside an event
 * @param withoutLengthProbability that responses to a request have no length and end with their connections
 */
record ServerTrouble(List<EventNumbering> numberings, double refusalProbability, double stallProbability,
        double cutProbability, double withoutLengthProbability) {
    /** Servers that refuse a tenth of the requests, and number events and end responses in all ways of the protocol. */
    static final ServerTrouble ALL = new ServerTrouble(Arrays.asList(EventNumbering.values()), 0.1, 0.04, 0.03, 0.05);

    /** Servers that are silent at times, and number events one by one. */
    static final ServerTrouble STALLS = new ServerTrouble(List.of(EventNumbering.BY_ONE), 0, 0.04, 0, 0);

    /** The same trouble with one way to number events. */
    ServerTrouble numbered(EventNumbering numbering) {
        return new ServerTrouble(List.of(numbering), refusalProbability, stallProbability, cutProbability,
                withoutLengthProbability);
    }
}
