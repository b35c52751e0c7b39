package rowanplank.exchange;

/** A header field that is passed on unchanged with a request or a response. The core does not interpret it. */
public record Header(String name, String value) { }
