package rowanplank.net;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/** How many files and sockets this process may hold. */
public final class Descriptors {
    private Descriptors() { }

    /** The most that may be open at once; {@link Long#MAX_VALUE} where the system does not say. */
    public static long limit() {
        return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system
                ? system.getMaxFileDescriptorCount() : Long.MAX_VALUE;
    }
}
