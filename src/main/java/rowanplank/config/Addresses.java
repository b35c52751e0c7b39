package rowanplank.config;

import java.net.InetSocketAddress;

/** Numeric addresses with a port, as text: there is no DNS. */
public final class Addresses {
    private Addresses() { }

    /** @throws ConfigException if the text is no numeric address and port */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            String host = text.substring(0, colon).replaceAll("[\\[\\]]", "");
            if (host.matches("[0-9.]+|[0-9a-fA-F:.]*:[0-9a-fA-F:.]*")) {
                InetSocketAddress address = new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
                if (!address.isUnresolved()) {
                    return address;
                }
            }
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            // told below
        }
        throw new ConfigException("no numeric address and port: " + text);
    }

    public static String format(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.indexOf(':') < 0 ? host : "[" + host + "]") + ":" + address.getPort();
    }
}
