package org.siskinramp.request;

/**
 * Holds one HTTP header field.
 *
 * @param name the field name
 * @param value the field value
 */
public record Header(String name, String value) {}
