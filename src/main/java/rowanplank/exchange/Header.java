package rowanplank.exchange;

/** A named line that travels with a request or an answer from end to end; the core never looks inside. */
public record Header(String name, String value) { }
