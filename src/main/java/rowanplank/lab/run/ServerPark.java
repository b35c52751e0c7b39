package rowanplank.lab.run;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import rowanplank.lab.day.Day;
import rowanplank.lab.site.Roster;
import rowanplank.lab.site.Works;

/** All places for page servers, and what they share. */
public final class ServerPark {
    private final Ground ground;
    private final Works works;
    private final Roster roster;
    private final List<ServerHost> hosts = new ArrayList<>();
    private int machines;
    private int lives;

    /** @param works what is known of the requests that come */
    public ServerPark(Ground ground, Works works) {
        this.ground = ground;
        this.works = works;
        roster = new Roster(ground.day().discovery().notices());
        List<Day.Kind> kinds = kinds(ground.day().servers());
        for (int i = 0; i < kinds.size(); i++) {
            hosts.add(new ServerHost(ground, this, i, kinds.get(i)));
        }
    }

    /** Each place's kind: the one of which most is lacking so far, beside its share; the first of equals. */
    private static List<Day.Kind> kinds(Day.Servers servers) {
        List<Day.Kind> all = servers.kinds();
        double shares = all.stream().mapToDouble(Day.Kind::share).sum();
        int[] have = new int[all.size()];
        List<Day.Kind> kinds = new ArrayList<>();
        for (int i = 0; i < servers.count(); i++) {
            int most = 0;
            double lacking = Double.NEGATIVE_INFINITY;
            for (int k = 0; k < all.size(); k++) {
                double lacks = all.get(k).share() / shares * (i + 1) - have[k];
                if (lacks > lacking) {
                    lacking = lacks;
                    most = k;
                }
            }
            have[most]++;
            kinds.add(all.get(most));
        }
        return kinds;
    }

    /** All of them have been there for long, and serve from now on. */
    public void begin() {
        hosts.forEach(ServerHost::begin);
    }

    public List<ServerHost> hosts() {
        return hosts;
    }

    public Roster roster() {
        return roster;
    }

    Works works() {
        return works;
    }

    int nextMachine() {
        return machines++;
    }

    int nextLife() {
        return lives++;
    }

    /** Log-normal with the kind's speed as its mean: exp(ln m - v / 2 + sqrt(v) z), with v = ln(1 + spread^2). */
    double speed(Day.Kind kind, int machine) {
        double variance = StrictMath.log1p(kind.speedSpread() * kind.speedSpread());
        double z = ZigguratSampler.NormalizedGaussian.of(ground.random("speed " + machine)).sample();
        return kind.speed() * StrictMath.exp(StrictMath.sqrt(variance) * z - variance / 2);
    }
}
