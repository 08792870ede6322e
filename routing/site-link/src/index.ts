export {SiteLink} from './siteLink.js';
export type {SiteLinkOptions} from './siteLink.js';
