package routerfleet.config;

import io.vavr.control.Either;
import jakarta.validation.ConstraintViolation;
import jakarta.validation.Validation;
import jakarta.validation.Validator;
import java.util.Set;
import org.hibernate.validator.messageinterpolation.ParameterMessageInterpolator;

/** What makes a configuration invalid: single fields by Bean Validation, and what holds between items. */
final class ConfigRules {
    private final Validator validator = Validation.byDefaultProvider().configure().ignoreXmlConfiguration()
            .messageInterpolator(new ParameterMessageInterpolator()).buildValidatorFactory().getValidator();

    /** @param known a valid configuration; items that stand in it as they are need no second check of their fields */
    Either<ConfigFault, FleetConfiguration> check(FleetConfiguration configuration, FleetConfiguration known) {
        if (!validator.validate(unknown(configuration, known)).isEmpty()) {
            // Once more as a whole, for a path that the operator finds in what was sent.
            Set<ConstraintViolation<FleetConfiguration>> violations = validator.validate(configuration);
            ConstraintViolation<FleetConfiguration> first = violations.iterator().next();
            return Either.left(ConfigFault.invalid(first.getPropertyPath().toString(), first.getMessage()));
        }
        ConfigFault fault = ItemRules.check(configuration);
        return fault == null ? Either.right(configuration) : Either.left(fault);
    }

    private static FleetConfiguration unknown(FleetConfiguration configuration, FleetConfiguration known) {
        return new FleetConfiguration(configuration.generation(),
                ConfigDelta.changed(known.routes(), configuration.routes()),
                ConfigDelta.changed(known.backends(), configuration.backends()), configuration.limits(),
                ConfigDelta.changed(known.tenants(), configuration.tenants()));
    }
}
