package routerfleet.settings;

/**
 * The figures of the rules, from the settings file's {@code bounds.*}. Durations are in milliseconds where the name ends
 * in Ms and in seconds where it ends in S. Absent figures take the defaults below.
 *
 * @param revokeMs after the acknowledgement of a removed key, the time until no request with it may run
 * @param quotaOvershoot part of a tenant's limit that may be exceeded in a window
 * @param warmupOvershoot the factor by which a cold server's rate may be exceeded in a second
 * @param warmupSlack requests in a second beyond that
 * @param evacuationMs after the acknowledgement of an evacuation, the time until its zone's servers get nothing more
 * @param mergeMs after a partition has healed, the time until every control node counts every acknowledged add
 */
public record Bounds(
        Long connectedMs,
        Long ackMs,
        Double catchUpS,
        Long drainMs,
        Double graceS,
        Long slackMs,
        Long propagationMs,
        Boolean revocation,
        Long revokeMs,
        Double retryBudgetRatio,
        Double retryWindowS,
        Double retrySlack,
        Double quotaWindowS,
        Double quotaOvershoot,
        Double quotaSlack,
        Double warmupOvershoot,
        Double warmupSlack,
        Long evacuationMs,
        Long mergeMs) {
    public Bounds {
        connectedMs = orElse(connectedMs, 3_000L);
        ackMs = orElse(ackMs, 4_000L);
        catchUpS = orElse(catchUpS, 4.0);
        drainMs = orElse(drainMs, 2_000L);
        graceS = orElse(graceS, 8.0);
        slackMs = orElse(slackMs, 200L);
        propagationMs = orElse(propagationMs, 2_000L);
        revocation = orElse(revocation, true);
        revokeMs = orElse(revokeMs, 5_000L);
        retryBudgetRatio = orElse(retryBudgetRatio, 0.2);
        retryWindowS = orElse(retryWindowS, 10.0);
        retrySlack = orElse(retrySlack, 0.0);
        quotaWindowS = orElse(quotaWindowS, 8.0);
        quotaOvershoot = orElse(quotaOvershoot, 0.0);
        quotaSlack = orElse(quotaSlack, 0.0);
        warmupOvershoot = orElse(warmupOvershoot, 1.0);
        warmupSlack = orElse(warmupSlack, 0.0);
        evacuationMs = orElse(evacuationMs, 5_000L);
        mergeMs = orElse(mergeMs, 3_000L);
    }

    /** The figures of a settings file. @throws SettingsException if one of them is malformed */
    static Bounds read(SettingsFile fields) throws SettingsException {
        return new Bounds(
                fields.number("bounds.connected_ms"),
                fields.number("bounds.ack_ms"),
                fields.fraction("bounds.catch_up_s"),
                fields.number("bounds.drain_ms"),
                fields.fraction("bounds.grace_s"),
                fields.number("bounds.slack_ms"),
                fields.number("bounds.propagation_ms"),
                fields.flag("bounds.revocation"),
                fields.number("bounds.revoke_ms"),
                fields.fraction("bounds.retry_budget_ratio"),
                fields.fraction("bounds.retry_window_s"),
                fields.fraction("bounds.retry_slack"),
                fields.fraction("bounds.quota_window_s"),
                fields.fraction("bounds.quota_overshoot"),
                fields.fraction("bounds.quota_slack"),
                fields.fraction("bounds.warmup_overshoot"),
                fields.fraction("bounds.warmup_slack"),
                fields.number("bounds.evacuation_ms"),
                fields.number("bounds.merge_ms"));
    }

    /** Every figure at its default. */
    public static Bounds defaults() {
        return new Bounds(null, null, null, null, null, null, null, null, null, null, null, null, null, null, null, null,
                null, null, null);
    }

    private static <T> T orElse(T value, T fallback) {
        return value == null ? fallback : value;
    }
}
