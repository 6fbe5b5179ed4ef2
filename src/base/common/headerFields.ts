/** Header fields as they arrived, with names in lower case. */
export type HeaderFields = Readonly<Record<string, string | readonly string[] | undefined>>;
