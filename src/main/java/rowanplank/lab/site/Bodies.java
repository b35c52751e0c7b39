package rowanplank.lab.site;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import net.openhft.hashing.LongHashFunction;

/** The bodies of answers: each says who made it for what, and no two are alike. */
public final class Bodies {
    private Bodies() { }

    /**
     * @param count the server's count of its answers
     * @param bytes how long it is to be; longer where what it has to say needs more
     */
    static byte[] body(int server, long request, long count, int bytes) {
        String says = "server " + server + " request " + Ids.hex(request) + " answer " + count + '\n';
        byte[] body = Arrays.copyOf(says.getBytes(StandardCharsets.US_ASCII), Math.max(says.length(), bytes));
        Arrays.fill(body, says.length(), body.length, (byte) ('a' + (request + count) % 26));
        return body;
    }

    /** What events tell of a body: xxHash64 in 16 hexadecimal digits. */
    public static String digest(byte[] body) {
        return Ids.hex(LongHashFunction.xx().hashBytes(body));
    }
}
