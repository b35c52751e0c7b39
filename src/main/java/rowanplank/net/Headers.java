package rowanplank.net;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import rowanplank.exchange.Header;

/** Which headers pass from end to end, and which are a matter of one connection (RFC 9110, 7.6.1). */
public final class Headers {
    /** Those of one hop, those that every message is given anew, and those that only the node is told. */
    private static final Set<String> OF_ONE_HOP = Set.of("connection", "keep-alive", "proxy-connection",
            "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "expect",
            "content-length", "x-timeout", "x-server-load", "x-not-processed");

    private Headers() { }

    public static List<Header> endToEnd(HttpFields fields) {
        List<String> named = fields.getCSV(HttpHeader.CONNECTION, false);
        List<Header> passed = new ArrayList<>(fields.size());
        for (HttpField f : fields) {
            boolean ofOneHop = OF_ONE_HOP.contains(f.getLowerCaseName())
                    || named.stream().anyMatch(n -> n.toLowerCase(Locale.ROOT).equals(f.getLowerCaseName()));
            if (!ofOneHop && f.getValue() != null) {
                passed.add(new Header(f.getName(), f.getValue()));
            }
        }
        return passed;
    }

    public static HttpFields.Mutable fields(List<Header> headers) {
        HttpFields.Mutable fields = HttpFields.build();
        headers.forEach(h -> fields.add(h.name(), h.value()));
        return fields;
    }
}
