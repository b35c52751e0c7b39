package routerfleet.settings;

import java.net.InetSocketAddress;

/** An IPv4 address and a port, written {@code host:port}. */
public record HostPort(String host, int port) {
    /** @throws IllegalArgumentException if the text is no {@code host:port} */
    public static HostPort parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("'" + text + "' is not host:port");
        }
        int port;
        try {
            port = Integer.parseInt(text.substring(colon + 1).trim());
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("'" + text + "' has no port number", e);
        }
        if (port < 1 || port > 65_535) {
            throw new IllegalArgumentException("'" + text + "' has a port outside 1 to 65535");
        }
        return new HostPort(text.substring(0, colon).trim(), port);
    }

    /** The socket address; the host must be a numeric address, so that no name is looked up. */
    public InetSocketAddress socketAddress() {
        return new InetSocketAddress(host, port);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
