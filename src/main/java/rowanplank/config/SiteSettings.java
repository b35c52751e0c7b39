package rowanplank.config;

import java.time.Duration;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import rowanplank.balancer.BalancerApi.Settings;
import rowanplank.net.Clock;

/**
 * The settings of a site: those of the decision module, and what only the node around it needs.
 *
 * @param classNames names of the classes, in the order of the module's
 * @param tenants the tenants' places among the module's, by their names
 * @param zones zone names; their places are the module's zones
 * @param connIdle when page servers close an idle connection at the latest
 * @param connectTimeout how long a connection may take to open
 * @param answerSlack how long after its deadline a request's answer is still in time
 */
public record SiteSettings(Settings module, List<String> classNames, Map<String, Integer> tenants, List<String> zones,
        Duration connIdle, Duration connectTimeout, Duration answerSlack) {
    public SiteSettings {
        classNames = List.copyOf(classNames);
        tenants = Collections.unmodifiableMap(new LinkedHashMap<>(tenants));
        zones = List.copyOf(zones);
    }

    /** A tenant's place in the settings; beyond all of them where they don't name it, or it is null. */
    public int tenant(String name) {
        return tenants.getOrDefault(name, module.tenants().size());
    }

    /** The nearest to a wanted advice that the site allows; zero where clients are told none. */
    public Duration retryAfter(Duration wanted) {
        Duration most = Clock.span(module.limits().maxRetryAfterMs());
        return wanted.compareTo(most) < 0 ? wanted : most;
    }
}
