/** Carries the offer as JSON in the head of a request between daemons. */
export const OFFER_HEADER = 'medlarlane-offer';
